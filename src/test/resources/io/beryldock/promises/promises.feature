Feature: What must always hold
  Two nodes in two data centres: gent-a holds the target of lists, gent-b those of orders.

  Background:
    Given a node in gent-a with a target of lists and a node in gent-b with a target of orders

  Scenario: A lecturer receives the complete answer to their own request
    When a lecturer asks the node in gent-b for "/lists/week-1?echo=mine"
    Then the outcome is ANSWERED
    And the answer echoes "mine"

  Scenario: A request that no route takes ran nowhere
    When a lecturer asks the node in gent-b for "/nothing/here"
    Then the outcome is NOT_RUN because of NO_ROUTE
    And no target has run anything

  Scenario: A body over the limit ran nowhere
    When a librarian orders "/orders/1" with a body of 2000000 bytes
    Then the outcome is NOT_RUN because of BODY_TOO_LARGE
    And no target has run anything

  Scenario: An order sent again under its ticket runs once and gets the same answer
    Given a librarian's ticket of the node in gent-a
    When the librarian orders "/orders/1?echo=a" under the ticket 5 times at once at both nodes
    Then every outcome is ANSWERED
    And all answers are the same
    And the target of orders has run 1 request

  Scenario: An order sent again under the caller's own key runs once
    When the librarian orders "/orders/2?echo=b" under the key "course-texts-2026" 5 times at once at both nodes
    Then every outcome is ANSWERED
    And all answers are the same
    And the target of orders has run 1 request

  @known-red
  Scenario: A ticket serves nobody but the caller who used it first
    Given a librarian's ticket of the node in gent-a
    When the librarian orders "/orders/3?echo=c" under the ticket 1 times at once at both nodes
    And another caller orders "/orders/3?echo=c" under the ticket
    # NOT_RUN would speak of the key, and under the key an order did run.
    Then the outcome is UNKNOWN because of KEY_IN_USE
    And the target of orders has run 1 request

  Scenario: A key is refused while the platform store is down, and the order ran nowhere
    Given the platform store is down
    When the librarian orders "/orders/4" under the key "no-store" 1 times at once at both nodes
    Then no outcome is ANSWERED
    And no target has run anything

  Scenario: A leaving target receives no new work, and what it runs is finished
    Given the target of orders takes its time
    When an order is under way and the target of orders leaves
    Then the order under way is ANSWERED
    And a new order is NOT_RUN

  Scenario: A request that crashes its target is refused before it takes down a third
    Given the target of lists crashes on requests that hold "poison"
    When a lecturer asks again and again for "/lists/poison" while the target is restarted
    Then the outcome is NOT_RUN because of QUARANTINED
    And the target of lists has crashed at most 2 times

  Scenario: A crash counts also where a supervisor starts the target again at once
    Given the target of lists crashes on requests that hold "poison"
    And a supervisor starts the target of lists again as soon as it has crashed
    When a lecturer asks again and again for "/lists/poison"
    Then the outcome is NOT_RUN because of QUARANTINED
    And the supervisor has started the target of lists at most 2 times
