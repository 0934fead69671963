package org.sassafrastrail.operator;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.sassafrastrail.durable.RuleFileStore;
import org.sassafrastrail.http.UndertowHttpClient;
import org.sassafrastrail.platform.PlatformObjectStore;
import org.sassafrastrail.platform.PlatformTableService;
import org.sassafrastrail.platform.StoreEndpoint;
import org.sassafrastrail.runtime.SettingsReader;
import org.sassafrastrail.runtime.SettingsReading;

/** Reads the operators' command line and runs the command that it names. */
public final class OperatorConsole {

    private static final String DEFAULT_SETTINGS = "operator.json";
    private static final OperatorSettings NO_SETTINGS =
            new OperatorSettings("nobody", "", "127.0.0.1", 1, 1, List.of());

    private final List<OperatorCommand> commands;
    private final Clock clock;

    /**
     * Makes the console.
     *
     * @param clock tells the time
     */
    public OperatorConsole(Clock clock) {
        RuleFiles files = new RuleFiles();
        ChangeCommand change = new ChangeCommand(files);
        this.commands = List.of(
                new RulesCommand(files),
                new DomainCommand(change),
                new MoveCommand(change),
                new StatusCommand(),
                new ExplainCommand());
        this.clock = clock;
    }

    /**
     * Lists the usage of all commands.
     *
     * @return one line a command
     */
    public List<String> usage() {
        return commands.stream().map(OperatorCommand::usage).toList();
    }

    /**
     * Runs a command.
     *
     * @param arguments the command line
     * @param output where answers go
     * @return how it ended
     */
    public ExitCode run(List<String> arguments, PrintStream output) {
        try {
            CommandLine line = new DefaultParser().parse(options(), arguments.toArray(String[]::new));
            return run(line, output);
        } catch (ParseException wrong) {
            output.println(wrong.getMessage());
            return ExitCode.USAGE;
        }
    }

    private ExitCode run(CommandLine line, PrintStream output) {
        List<String> words = line.getArgList();
        Optional<OperatorCommand> command = words.isEmpty()
                ? Optional.empty()
                : commands.stream()
                        .filter(candidate -> candidate.matches(words))
                        .findFirst();
        if (command.isEmpty() || line.hasOption("help")) {
            usage().forEach(output::println);
            output.println("options: --settings FILE (default " + DEFAULT_SETTINGS + ")");
            return line.hasOption("help") ? ExitCode.DONE : ExitCode.USAGE;
        }
        boolean offline = words.equals(List.of("rules", "check", words.get(words.size() - 1)));
        Optional<OperatorSettings> settings = offline ? Optional.of(NO_SETTINGS) : settings(line, output);
        return settings.map(known -> run(command.get(), line, known, output)).orElse(ExitCode.USAGE);
    }

    private ExitCode run(OperatorCommand command, CommandLine line, OperatorSettings settings, PrintStream output) {
        UndertowHttpClient caller = new UndertowHttpClient(1);
        caller.start();
        try {
            StoreEndpoint address = new StoreEndpoint(
                    settings.platformHost(),
                    settings.platformPort(),
                    Duration.ofMillis(settings.platformPatienceMilliseconds()));
            RuleFileStore store = new RuleFileStore(
                    new PlatformTableService(caller, address), new PlatformObjectStore(caller, address));
            return command.run(new OperatorCall(
                    line.getArgList(),
                    new OperatorOptions(
                            line.getOptionValue("reason", ""), line.hasOption("dry-run"), line.hasOption("json")),
                    settings,
                    store,
                    new RouterPages(caller, settings),
                    output,
                    clock));
        } finally {
            caller.stop();
        }
    }

    private static Optional<OperatorSettings> settings(CommandLine line, PrintStream output) {
        String file = line.getOptionValue("settings", DEFAULT_SETTINGS);
        SettingsReading<OperatorSettings> reading = new SettingsReader<>(OperatorSettings.class).read(Path.of(file));
        if (reading instanceof SettingsReading.Accepted<OperatorSettings> accepted) {
            return Optional.of(accepted.settings());
        }
        ((SettingsReading.Rejected<OperatorSettings>) reading)
                .errors()
                .forEach(error -> output.println(file + ": " + error.pointer() + " " + error.problem()));
        return Optional.empty();
    }

    private static Options options() {
        return new Options()
                .addOption(Option.builder().longOpt("settings").hasArg().get())
                .addOption(Option.builder().longOpt("reason").hasArg().get())
                .addOption(Option.builder().longOpt("dry-run").get())
                .addOption(Option.builder().longOpt("json").get())
                .addOption(Option.builder("h").longOpt("help").get());
    }
}
