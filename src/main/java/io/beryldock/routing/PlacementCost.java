package io.beryldock.routing;

/** Cost of placing one more call on a target; of two drawn targets the cheaper one is chosen. Pure. */
@FunctionalInterface
interface PlacementCost {

    double of(TargetStats target, UsualTimes usual, long now);
}
