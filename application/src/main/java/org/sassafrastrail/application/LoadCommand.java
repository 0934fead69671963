package org.sassafrastrail.application;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;

import org.sassafrastrail.load.LoadRun;
import org.sassafrastrail.load.LoadSettings;
import org.sassafrastrail.operator.ExitCode;
import org.sassafrastrail.runtime.Logging;
import org.sassafrastrail.runtime.SettingsReader;
import org.sassafrastrail.runtime.SettingsResult;

/** The {@code load} command, which runs a load generator against routers and prints a report. */
final class LoadCommand {

    static final String WORD = "load";
    static final String USAGE = WORD + " SETTINGS-FILE";

    private final Clock clock;

    LoadCommand(Clock clock) {
        this.clock = clock;
    }

    ExitCode run(List<String> arguments, PrintStream output) {
        if (arguments.size() != 2 || arguments.get(1).startsWith("-")) {
            output.println("usage: " + USAGE);
            return arguments.contains("--help") ? ExitCode.DONE : ExitCode.USAGE;
        }
        Logging.configure("WARN");
        SettingsResult<LoadSettings> result = new SettingsReader<>(LoadSettings.class).read(Path.of(arguments.get(1)));
        if (result instanceof SettingsResult.Rejected<LoadSettings> rejected) {
            rejected.errors().forEach(error -> output.println(error.pointer() + " " + error.problem()));
            return ExitCode.FAILED;
        }
        LoadSettings settings = ((SettingsResult.Accepted<LoadSettings>) result).settings();
        return new LoadRun(settings, clock).run(output) ? ExitCode.DONE : ExitCode.FAILED;
    }
}
