package io.pearscale.scheduler;

import io.pearscale.scheduler.agents.CommandDispatcher;
import io.pearscale.scheduler.agents.MachineRetirement;
import io.pearscale.scheduler.model.GangTracker;
import io.pearscale.scheduler.model.Job;
import io.pearscale.scheduler.records.CommitListener;

/** Passes the outcome of a leader's commits on to the parts that wait for it. */
record CommitEffects(
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
