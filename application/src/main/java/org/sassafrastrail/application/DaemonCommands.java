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

/** The commands that start daemons: router, sidecar, gateway and the stand-ins. */
final class DaemonCommands {

    private static final String CHECK_OPTION = "--check-settings";

    /** The environment variable with the settings file, used if the command line has none. */
    private static final String SETTINGS_VARIABLE = "SASSAFRASTRAIL_SETTINGS";

    private static final String STAND_IN_LINK_KEY = "";

    private final Clock clock;
    private final List<DaemonCommand<?>> commands = List.of(
            new DaemonCommand<>(
                    "router",
                    RouterSettings.class,
                    RouterSettings::logLevel,
                    settings -> new DaemonCommand.Exposure(settings.host(), settings.linkKey()),
                    RouterDaemon::new),
            new DaemonCommand<>(
                    "sidecar",
                    SidecarSettings.class,
                    SidecarSettings::logLevel,
                    settings -> new DaemonCommand.Exposure(settings.host(), settings.linkKey()),
                    SidecarDaemon::new),
            new DaemonCommand<>(
                    "gateway",
                    GatewaySettings.class,
                    GatewaySettings::logLevel,
                    settings -> DaemonCommand.Exposure.withoutLinkKey(),
                    PlatformGatewayFactory::create),
            new DaemonCommand<>(
                    "standin",
                    StandInSettings.class,
                    StandInSettings::logLevel,
                    settings -> new DaemonCommand.Exposure(settings.host(), STAND_IN_LINK_KEY),
                    StandIns::new));

    DaemonCommands(Clock clock) {
        this.clock = clock;
    }

    List<String> usage() {
        return commands.stream()
                .map(command -> command.word() + " SETTINGS-FILE [" + CHECK_OPTION + "]")
                .toList();
    }

    boolean has(String word) {
        return commands.stream().anyMatch(command -> command.word().equals(word));
    }

    ExitCode run(List<String> arguments, PrintStream output) {
        DaemonCommand<?> command = commands.stream()
                .filter(candidate -> candidate.word().equals(arguments.get(0)))
                .findFirst()
                .orElseThrow();
        List<String> files = Stream.concat(
                        arguments.stream().skip(1).filter(word -> !word.startsWith("-")),
                        Stream.ofNullable(System.getenv(SETTINGS_VARIABLE)))
                .limit(1)
                .toList();
        boolean checkOnly = arguments.contains(CHECK_OPTION);
        if (arguments.contains("--help")) {
            usage().forEach(output::println);
            return ExitCode.DONE;
        }
        if (files.isEmpty() || arguments.size() > (checkOnly ? 3 : 2)) {
            output.println("usage: " + command.word() + " SETTINGS-FILE [" + CHECK_OPTION + "]");
            return ExitCode.USAGE;
        }
        return run(command, files.get(0), checkOnly, output);
    }

    private <T> ExitCode run(DaemonCommand<T> command, String file, boolean checkOnly, PrintStream output) {
        SettingsResult<T> result = new SettingsReader<>(command.settings()).read(Path.of(file));
        if (result instanceof SettingsResult.Rejected<T> rejected) {
            rejected.errors().forEach(error -> output.println(file + ": " + error.pointer() + " " + error.problem()));
            return ExitCode.FAILED;
        }
        T settings = ((SettingsResult.Accepted<T>) result).settings();
        if (!command.exposure().apply(settings).isSafe()) {
            output.println(file + ": /host must be a loopback address because /linkKey is empty");
            return ExitCode.FAILED;
        }
        if (checkOnly) {
            output.println(file + ": valid");
            return ExitCode.DONE;
        }
        return serve(command, settings, file);
    }

    private <T> ExitCode serve(DaemonCommand<T> command, T settings, String file) {
        Logging.configure(command.logLevel().apply(settings));
        EventLog log = new EventLog("org.sassafrastrail.application");
        try {
            Service service = command.factory().apply(settings, clock);
            Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(service), "shutdown"));
            Signal.handle(new Signal("HUP"), signal -> reload(command, file, log));
            service.start();
            return ExitCode.DONE;
        } catch (ServiceStartException failure) {
            log.error("start-failed", failure, LogField.of("program", command.word()));
            Logging.flush();
            Runtime.getRuntime().halt(ExitCode.FAILED.number());
            return ExitCode.FAILED;
        }
    }

    private static void stop(Service service) {
        try {
            service.stop();
        } finally {
            Logging.flush();
        }
    }

    /** Reloads the settings file. Only the log level changes at once; all other settings need a restart. */
    private static <T> void reload(DaemonCommand<T> command, String file, EventLog log) {
        SettingsResult<T> result = new SettingsReader<>(command.settings()).read(Path.of(file));
        if (result instanceof SettingsResult.Accepted<T> accepted) {
            Logging.configure(command.logLevel().apply(accepted.settings()));
            log.info("reloaded", LogField.of("file", file));
        } else {
            log.warn(
                    "reload-rejected",
                    LogField.of("file", file),
                    LogField.of("errors", ((SettingsResult.Rejected<T>) result).errors()));
        }
    }
}
