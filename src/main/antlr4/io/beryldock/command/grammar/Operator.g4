// The operators' query and command language.
// Keywords are written in any case. Every choice is made by looking one token ahead, which the messages of errors and
// the completion rest on: both tell what may stand at a place by the tokens expected there.
grammar Operator;

options { caseInsensitive = true; }

statement : command EOF ;

command : show | why | change | explain | watch ;

explain : EXPLAIN change ;

watch : WATCH show ;

show
    : SHOW
      ( SHED shedOption*
      | TIMELINE timelineOption*
      | TARGETS targetOption*
      | serviceTopic serviceOption*
      | nodeTopic nodeOption*
      | documentTopic everywhere?
      )
    ;

shedOption : BY grouping | LAST duration | SERVICE serviceName | everywhere ;

grouping : CLASS | SERVICE | CALLER ;

timelineOption : LAST duration | REQUEST requestId | NODE nodeId | everywhere ;

targetOption : SERVICE serviceName | NODE nodeId | everywhere ;

serviceTopic : LEVELS | RETRIES | QUARANTINE ;

serviceOption : SERVICE serviceName | everywhere ;

nodeTopic : NODES | TICKETS | CONNECTIONS ;

nodeOption : NODE nodeId | everywhere ;

documentTopic : CONFIGURATION | CHANGES ;

everywhere : EVERYWHERE ;

why : WHY requestId everywhere? ;

change : ( set | remove | mark ) basedOn? | restore | drain | undrain ;

basedOn : BASED ON VERSION version ;

set : SET ( setClass | setBudget | setLimit | setRoute ) ;

setClass : CLASS className PRIORITY priority ;

setBudget : BUDGET budgetName budgetOption+ ;

budgetOption : SHARE share | RETRIES retries ;

setLimit : LIMIT serviceName SLOTS slots ;

setRoute : ROUTE prefix routeMethods? ( routeTarget | DEADLINE duration ) ;

routeMethods : METHODS? method ( COMMA method )* ;

routeTarget : SERVICE serviceName CLASS className routeOption* ;

routeOption : IDEMPOTENT | NON_IDEMPOTENT | DEADLINE duration | BUDGET budgetName ;

remove : REMOVE ROUTE prefix routeMethods? ;

mark : MARK ROUTE prefix routeMethods? ( NON_IDEMPOTENT | IDEMPOTENT ) ;

restore : RESTORE CONFIGURATION ;

drain : DRAIN TARGET nodeId ;

undrain : UNDRAIN TARGET nodeId ;

className : name ;

budgetName : name ;

serviceName : name ;

nodeId : name ;

method : WORD ;

requestId : WORD ;

prefix : PATH ;

duration : DURATION ;

share : PERCENT | DECIMAL ;

priority : NUMBER ;

retries : NUMBER ;

slots : NUMBER ;

version : NUMBER ;

// A keyword is a name like any other where only a name can stand.
name : WORD | NUMBER | DECIMAL | DURATION | keyword ;

keyword
    : BASED | BUDGET | BY | CALLER | CHANGES | CLASS | CONFIGURATION | CONNECTIONS | DEADLINE | DRAIN | EVERYWHERE | EXPLAIN
    | IDEMPOTENT | LAST | LEVELS | LIMIT | MARK | METHODS | NODE | NODES | NON_IDEMPOTENT | ON | PRIORITY | QUARANTINE | REMOVE
    | REQUEST | RESTORE | RETRIES | ROUTE | SERVICE | SET | SHARE | SHED | SHOW | SLOTS | TARGET | TARGETS | TICKETS
    | TIMELINE | UNDRAIN | VERSION | WATCH | WHY
    ;

BASED : 'based' ;
BUDGET : 'budget' ;
BY : 'by' ;
CALLER : 'caller' ;
CHANGES : 'changes' ;
CLASS : 'class' ;
CONFIGURATION : 'configuration' ;
CONNECTIONS : 'connections' ;
DEADLINE : 'deadline' ;
DRAIN : 'drain' ;
EVERYWHERE : 'everywhere' ;
EXPLAIN : 'explain' ;
IDEMPOTENT : 'idempotent' ;
LAST : 'last' ;
LEVELS : 'levels' ;
LIMIT : 'limit' ;
MARK : 'mark' ;
METHODS : 'methods' ;
NODE : 'node' ;
NODES : 'nodes' ;
NON_IDEMPOTENT : 'non-idempotent' ;
ON : 'on' ;
PRIORITY : 'priority' ;
QUARANTINE : 'quarantine' ;
REMOVE : 'remove' ;
REQUEST : 'request' ;
RESTORE : 'restore' ;
RETRIES : 'retries' ;
ROUTE : 'route' ;
SERVICE : 'service' ;
SET : 'set' ;
SHARE : 'share' ;
SHED : 'shed' ;
SHOW : 'show' ;
SLOTS : 'slots' ;
TARGET : 'target' ;
TARGETS : 'targets' ;
TICKETS : 'tickets' ;
TIMELINE : 'timeline' ;
UNDRAIN : 'undrain' ;
VERSION : 'version' ;
WATCH : 'watch' ;
WHY : 'why' ;

NUMBER : [0-9]+ ;
DURATION : [0-9]+ ( 'ms' | 's' | 'm' | 'h' ) ;
DECIMAL : [0-9]+ '.' [0-9]+ ;
PERCENT : [0-9]+ ( '.' [0-9]+ )? '%' ;
WORD : [\p{L}\p{Nd}._\-]+ ;
PATH : '/' ~[ \t\r\n]* ;
COMMA : ',' ;
SPACE : [ \t\r\n]+ -> skip ;

// Never in a statement: any other character, so that the parser names its column.
OTHER : . ;
