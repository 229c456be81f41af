package io.dragonflyturn.command;

import io.dragonflyturn.daemon.EntryMain;
import io.dragonflyturn.daemon.InstanceMain;
import io.dragonflyturn.daemon.SchedulerMain;
import io.dragonflyturn.internal.settings.SettingsCatalogue;
import io.dragonflyturn.standin.PlatformMain;
import io.dragonflyturn.standin.WorkerMain;
import java.util.List;

/** The commands that run a server process or a stand-in until it is stopped. */
final class ProcessCommands {
  private ProcessCommands() {}

  static List<CommandDefinition> all() {
    return List.of(
        new CommandDefinition(
            "entry",
            "Runs an entry, to which callers and operators connect.",
            List.of(
                "# Beside a scheduler on the same instance, with a second one for failover",
                "dragonflyturn entry --instance-name i1 --failure-domain north"
                    + " --schedulers 10.0.0.1:7411,10.0.0.2:7411"),
            new CommandBody.Process(SettingsCatalogue.ENTRY, EntryMain::run)),
        new CommandDefinition(
            "scheduler",
            "Runs a replica of the control state, which may plan.",
            List.of(
                "dragonflyturn scheduler --instance-name i1 --failure-domain north"
                    + " --platform http://10.0.0.9:7500 --control-address 10.0.0.1:7411"
                    + " --peers 10.0.0.2:7411,10.0.0.3:7411"),
            new CommandBody.Process(SettingsCatalogue.SCHEDULER, SchedulerMain::run)),
        new CommandDefinition(
            "instance",
            "Runs an entry and a scheduler in one process.",
            List.of(
                "dragonflyturn instance --instance-name i1 --failure-domain north"
                    + " --platform http://10.0.0.9:7500 --control-address 10.0.0.1:7411"
                    + " --peers 10.0.0.2:7411,10.0.0.3:7411"),
            new CommandBody.Process(SettingsCatalogue.INSTANCE, InstanceMain::run)),
        new CommandDefinition(
            "stand-in platform",
            "Runs a simulated platform for trials: an in-memory log and an instance list.",
            List.of("dragonflyturn stand-in platform --port 7500"),
            new CommandBody.StandIn(PlatformMain::main)),
        new CommandDefinition(
            "stand-in worker",
            "Runs simulated workers for trials.",
            List.of(
                "# Twelve workers with eight accelerators each in two failure domains",
                "dragonflyturn stand-in worker --platform 127.0.0.1:7500 --count 12"
                    + " --failure-domains north,south --accelerators 8"),
            new CommandBody.StandIn(WorkerMain::main)));
  }
}
