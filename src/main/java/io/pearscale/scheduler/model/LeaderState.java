package io.pearscale.scheduler.model;

import java.time.InstantSource;

/**
 * What the parts of a leader share. Each component owns its own state and is asked and told by
 * methods.
 *
 * @param requestPass asks for a pass over the jobs that wait
 * @param records says what a successor must find stored
 * @param gangs the attempts of gang jobs
 * @param decisions is told what starts and proofs rest on
 */
public record LeaderState(
    Leadership leadership,
    JobTable jobs,
    MachineInventory inventory,
    DecisionRecorder records,
    InstantSource clock,
    Runnable requestPass,
    DecisionLog decisions,
    GangTracker gangs) {}
