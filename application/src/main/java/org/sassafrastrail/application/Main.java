package org.sassafrastrail.application;

import java.io.PrintStream;
import java.time.Clock;
import java.util.Arrays;
import java.util.List;

import org.sassafrastrail.operator.ExitCode;
import org.sassafrastrail.operator.OperatorCommandLine;
import org.sassafrastrail.runtime.Logging;

/** Entry point of the program, which runs the command that the first argument names. */
public final class Main {

    /** Operators' commands print results to standard output and log only warnings and errors. */
    private static final String LOG_LEVEL = "WARN";

    private Main() {}

    /**
     * Runs a command. The process exits with its exit code if the command fails or is the training run; a daemon that
     * started keeps it running.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        ExitCode code = run(Arrays.asList(arguments), Clock.systemUTC(), System.out);
        if (code != ExitCode.DONE || arguments[0].equals(GatewayTrainingRun.WORD)) {
            System.exit(code.number());
        }
    }

    static ExitCode run(List<String> arguments, Clock clock, PrintStream output) {
        DaemonCommands daemons = new DaemonCommands(clock);
        OperatorCommandLine operatorCommands = new OperatorCommandLine(clock);
        if (arguments.isEmpty() || arguments.equals(List.of("--help"))) {
            daemons.usage().forEach(output::println);
            output.println(LoadCommand.USAGE);
            output.println(GatewayTrainingRun.WORD);
            operatorCommands.usage().forEach(output::println);
            return arguments.isEmpty() ? ExitCode.USAGE : ExitCode.DONE;
        }
        if (arguments.get(0).equals(LoadCommand.WORD)) {
            return new LoadCommand(clock).run(arguments, output);
        }
        if (arguments.get(0).equals(GatewayTrainingRun.WORD)) {
            return GatewayTrainingRun.run(clock, output);
        }
        if (daemons.has(arguments.get(0))) {
            return daemons.run(arguments, output);
        }
        Logging.configure(LOG_LEVEL);
        return operatorCommands.run(arguments, output);
    }
}
