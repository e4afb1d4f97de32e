package io.pearscale.scheduler.model;

import io.pearscale.scheduler.agents.GangTracker;
import io.pearscale.scheduler.records.LeaderRecords;
import java.time.InstantSource;

/**
 * What the components of a leader share. Each of them owns its state, and changes it by its methods
 * alone.
 *
 * @param requestPass requests a scheduling pass
 * @param gangs the attempts of gang jobs
 * @param decisions logs what starts and proofs of absence rest on
 */
public record LeaderState(
    Leadership leadership,
    JobTable jobs,
    MachineInventory inventory,
    LeaderRecords records,
    InstantSource clock,
    Runnable requestPass,
    DecisionLog decisions,
    GangTracker gangs) {}
