package org.sassafrastrail.application;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;

import org.sassafrastrail.operator.ExitCode;
import org.sassafrastrail.router.RouterDaemon;
import org.sassafrastrail.router.RouterSettings;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Logging;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.ServiceFailure;
import org.sassafrastrail.runtime.SettingsReader;
import org.sassafrastrail.runtime.SettingsReading;
import org.sassafrastrail.sidecar.SidecarDaemon;
import org.sassafrastrail.sidecar.SidecarSettings;
import org.sassafrastrail.standins.StandInSettings;
import org.sassafrastrail.standins.StandIns;

/** The programs that run until they are told to stop. */
final class Programs {

    private static final String CHECK = "--check-settings";
    private static final String STAND_IN_LINK_KEY = "";

    private final Clock clock;
    private final List<Program<?>> programs = List.of(
            new Program<>(
                    "router",
                    RouterSettings.class,
                    RouterSettings::logLevel,
                    settings -> new Program.Exposure(settings.host(), settings.linkKey()),
                    RouterDaemon::new),
            new Program<>(
                    "sidecar",
                    SidecarSettings.class,
                    SidecarSettings::logLevel,
                    settings -> new Program.Exposure(settings.host(), settings.linkKey()),
                    SidecarDaemon::new),
            new Program<>(
                    "standin",
                    StandInSettings.class,
                    StandInSettings::logLevel,
                    settings -> new Program.Exposure(settings.host(), STAND_IN_LINK_KEY),
                    StandIns::new));

    Programs(Clock clock) {
        this.clock = clock;
    }

    List<String> usage() {
        return programs.stream()
                .map(program -> program.word() + " SETTINGS-FILE [" + CHECK + "]")
                .toList();
    }

    boolean has(String word) {
        return programs.stream().anyMatch(program -> program.word().equals(word));
    }

    ExitCode run(List<String> arguments, PrintStream output) {
        Program<?> program = programs.stream()
                .filter(candidate -> candidate.word().equals(arguments.get(0)))
                .findFirst()
                .orElseThrow();
        List<String> files =
                arguments.stream().skip(1).filter(word -> !word.startsWith("-")).toList();
        boolean check = arguments.contains(CHECK);
        if (arguments.contains("--help")) {
            usage().forEach(output::println);
            return ExitCode.DONE;
        }
        if (files.size() != 1 || arguments.size() != (check ? 3 : 2)) {
            output.println("usage: " + program.word() + " SETTINGS-FILE [" + CHECK + "]");
            return ExitCode.USAGE;
        }
        return run(program, files.get(0), check, output);
    }

    private <T> ExitCode run(Program<T> program, String file, boolean check, PrintStream output) {
        SettingsReading<T> reading = new SettingsReader<>(program.settings()).read(Path.of(file));
        if (reading instanceof SettingsReading.Rejected<T> rejected) {
            rejected.errors().forEach(error -> output.println(file + ": " + error.pointer() + " " + error.problem()));
            return ExitCode.FAILED;
        }
        T settings = ((SettingsReading.Accepted<T>) reading).settings();
        if (!program.exposure().apply(settings).isSafe()) {
            output.println(file + ": /linkKey is empty, so /host has to be a loopback address");
            return ExitCode.FAILED;
        }
        if (check) {
            output.println(file + ": right");
            return ExitCode.DONE;
        }
        return serve(program, settings);
    }

    private <T> ExitCode serve(Program<T> program, T settings) {
        Logging.setUp(program.logLevel().apply(settings));
        EventLog log = new EventLog("org.sassafrastrail.application");
        try {
            Service service = program.make().apply(settings, clock);
            Runtime.getRuntime().addShutdownHook(new Thread(service::stop, "shutdown"));
            service.start();
            return ExitCode.DONE;
        } catch (ServiceFailure failure) {
            log.error("start-failed", failure, LogField.of("program", program.word()));
            Runtime.getRuntime().halt(ExitCode.FAILED.number());
            return ExitCode.FAILED;
        }
    }
}
