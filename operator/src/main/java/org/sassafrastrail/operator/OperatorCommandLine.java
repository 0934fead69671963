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
import org.sassafrastrail.runtime.SettingsResult;

/** Parses the operators' command line and runs the command that it names. */
public final class OperatorCommandLine {

    private static final String DEFAULT_SETTINGS = "operator.json";
    private static final OperatorSettings NO_SETTINGS =
            new OperatorSettings("nobody", "", "127.0.0.1", 1, 1, List.of());

    private final List<OperatorCommand> commands;
    private final Clock clock;

    /**
     * Creates the command line.
     *
     * @param clock supplies the time of changes
     */
    public OperatorCommandLine(Clock clock) {
        RuleFileUpdater fileUpdater = new RuleFileUpdater();
        SingleRuleUpdater ruleUpdater = new SingleRuleUpdater(fileUpdater);
        this.commands = List.of(
                new RulesCommand(fileUpdater),
                new DomainCommand(ruleUpdater),
                new MoveCommand(ruleUpdater),
                new StatusCommand(),
                new ExplainCommand());
        this.clock = clock;
    }

    /**
     * Returns the usage of all commands.
     *
     * @return one line per command
     */
    public List<String> usage() {
        return commands.stream().map(OperatorCommand::usage).toList();
    }

    /**
     * Runs a command.
     *
     * @param arguments the command line
     * @param output receives the output of the command
     * @return the exit code
     */
    public ExitCode run(List<String> arguments, PrintStream output) {
        try {
            CommandLine line = new DefaultParser().parse(options(), arguments.toArray(String[]::new));
            return run(line, output);
        } catch (ParseException invalid) {
            output.println(invalid.getMessage());
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
        return settings.map(loaded -> run(command.get(), line, loaded, output)).orElse(ExitCode.USAGE);
    }

    private ExitCode run(OperatorCommand command, CommandLine line, OperatorSettings settings, PrintStream output) {
        UndertowHttpClient client = new UndertowHttpClient(1);
        client.start();
        try {
            StoreEndpoint endpoint = new StoreEndpoint(
                    settings.platformHost(),
                    settings.platformPort(),
                    Duration.ofMillis(settings.platformPatienceMilliseconds()));
            RuleFileStore store = new RuleFileStore(
                    new PlatformTableService(client, endpoint), new PlatformObjectStore(client, endpoint));
            return command.run(new CommandContext(
                    line.getArgList(),
                    new OperatorOptions(
                            line.getOptionValue("reason", ""), line.hasOption("dry-run"), line.hasOption("json")),
                    settings,
                    store,
                    new RouterPageClient(client, settings),
                    output,
                    clock));
        } finally {
            client.stop();
        }
    }

    private static Optional<OperatorSettings> settings(CommandLine line, PrintStream output) {
        String file = line.getOptionValue("settings", DEFAULT_SETTINGS);
        SettingsResult<OperatorSettings> result = new SettingsReader<>(OperatorSettings.class).read(Path.of(file));
        if (result instanceof SettingsResult.Accepted<OperatorSettings> accepted) {
            return Optional.of(accepted.settings());
        }
        ((SettingsResult.Rejected<OperatorSettings>) result)
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
