package io.pearscale.scheduler.model;

import io.pearscale.scheduler.agents.GangTracker;
import io.pearscale.scheduler.records.LeaderRecords;
import java.time.InstantSource;

/**
 * What the parts of a leader share. Each component owns its own state and is asked and told by
 * methods.
 *
 * @param requestPass asks for a pass over the jobs that wait
 * @param gangs the attempts of gang jobs
 * @param decisions is told what starts and proofs rest on
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
