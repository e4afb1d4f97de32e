package io.pearscale.scheduler.model;

import java.time.InstantSource;

/**
 * What the components of a leader share. Each of them owns its state, and changes it by its methods
 * alone.
 *
 * @param requestPass requests a scheduling pass
 * @param records says what a successor must find stored
 * @param gangs the attempts of gang jobs
 * @param decisions logs what starts and proofs of absence rest on
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
