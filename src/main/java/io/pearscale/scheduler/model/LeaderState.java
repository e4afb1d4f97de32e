package io.pearscale.scheduler.model;

import java.time.InstantSource;

/**
 * The components that all parts of a leader share. Each component owns its state and changes it
 * only through its own methods.
 *
 * @param requestPass requests a scheduling pass
 * @param records receives the decisions that a successor must find stored
 * @param gangs tracks the attempts of gang jobs
 * @param decisions logs the evidence behind starts and absence proofs
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
