package io.beryldock.routing;

/** Cost of placing one more call on a target; of two sampled targets the cheaper one is chosen. Pure. */
@FunctionalInterface
interface PlacementCost {

    double of(TargetStats target, ServiceBaseline baseline, long now);
}
