package io.pearscale.scheduler;

import io.pearscale.scheduler.agents.CommandDispatcher;
import io.pearscale.scheduler.agents.MachineRetirement;
import io.pearscale.scheduler.model.GangTracker;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.records.CommitListener;

/** Forwards the outcome of a leader's commits to the components that depend on it. */
record LeaderCommitListener(
    GangTracker gangs,
    CommandDispatcher dispatcher,
    MachineRetirement retirement,
    SchedulerActor.Listener listener)
    implements CommitListener {
  @Override
  public void onJobFinished(Job job) {
    gangs.remove(job);
  }

  @Override
  public void onTransactionApplied() {
    dispatcher.sendAllDueCommands();
    retirement.deleteRetired();
  }

  @Override
  public void onHigherTerm(long term) {
    listener.higherTermSeen(term);
  }
}
