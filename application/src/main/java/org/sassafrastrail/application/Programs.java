package org.sassafrastrail.application;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import java.util.stream.Stream;

import org.sassafrastrail.gateway.GatewaySettings;
import org.sassafrastrail.operator.ExitCode;
import org.sassafrastrail.router.RouterDaemon;
import org.sassafrastrail.router.RouterSettings;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.LogField;
import org.sassafrastrail.runtime.Logging;
import org.sassafrastrail.runtime.Service;
import org.sassafrastrail.runtime.ServiceStartException;
import org.sassafrastrail.runtime.SettingsReader;
import org.sassafrastrail.runtime.SettingsResult;
import org.sassafrastrail.sidecar.SidecarDaemon;
import org.sassafrastrail.sidecar.SidecarSettings;
import org.sassafrastrail.standins.StandInSettings;
import org.sassafrastrail.standins.StandIns;
import sun.misc.Signal;

/** The programs that run until they are told to stop. */
final class Programs {

    private static final String CHECK = "--check-settings";

    /** Names the settings file where the command line does not. */
    private static final String SETTINGS_VARIABLE = "SASSAFRASTRAIL_SETTINGS";

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
                    "gateway",
                    GatewaySettings.class,
                    GatewaySettings::logLevel,
                    settings -> Program.Exposure.withoutLinks(),
                    PlatformGateway::of),
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
        List<String> files = Stream.concat(
                        arguments.stream().skip(1).filter(word -> !word.startsWith("-")),
                        Stream.ofNullable(System.getenv(SETTINGS_VARIABLE)))
                .limit(1)
                .toList();
        boolean check = arguments.contains(CHECK);
        if (arguments.contains("--help")) {
            usage().forEach(output::println);
            return ExitCode.DONE;
        }
        if (files.isEmpty() || arguments.size() > (check ? 3 : 2)) {
            output.println("usage: " + program.word() + " SETTINGS-FILE [" + CHECK + "]");
            return ExitCode.USAGE;
        }
        return run(program, files.get(0), check, output);
    }

    private <T> ExitCode run(Program<T> program, String file, boolean check, PrintStream output) {
        SettingsResult<T> reading = new SettingsReader<>(program.settings()).read(Path.of(file));
        if (reading instanceof SettingsResult.Rejected<T> rejected) {
            rejected.errors().forEach(error -> output.println(file + ": " + error.pointer() + " " + error.problem()));
            return ExitCode.FAILED;
        }
        T settings = ((SettingsResult.Accepted<T>) reading).settings();
        if (!program.exposure().apply(settings).isSafe()) {
            output.println(file + ": /linkKey is empty, so /host has to be a loopback address");
            return ExitCode.FAILED;
        }
        if (check) {
            output.println(file + ": right");
            return ExitCode.DONE;
        }
        return serve(program, settings, file);
    }

    private <T> ExitCode serve(Program<T> program, T settings, String file) {
        Logging.configure(program.logLevel().apply(settings));
        EventLog log = new EventLog("org.sassafrastrail.application");
        try {
            Service service = program.make().apply(settings, clock);
            Runtime.getRuntime().addShutdownHook(new Thread(service::stop, "shutdown"));
            Signal.handle(new Signal("HUP"), signal -> reload(program, file, log));
            service.start();
            return ExitCode.DONE;
        } catch (ServiceStartException failure) {
            log.error("start-failed", failure, LogField.of("program", program.word()));
            Runtime.getRuntime().halt(ExitCode.FAILED.number());
            return ExitCode.FAILED;
        }
    }

    /** Reads the settings again. The level of the log changes at once, all else with the next start. */
    private static <T> void reload(Program<T> program, String file, EventLog log) {
        SettingsResult<T> reading = new SettingsReader<>(program.settings()).read(Path.of(file));
        if (reading instanceof SettingsResult.Accepted<T> accepted) {
            Logging.configure(program.logLevel().apply(accepted.settings()));
            log.info("reloaded", LogField.of("file", file));
        } else {
            log.warn(
                    "reload-rejected",
                    LogField.of("file", file),
                    LogField.of("errors", ((SettingsResult.Rejected<T>) reading).errors()));
        }
    }
}
