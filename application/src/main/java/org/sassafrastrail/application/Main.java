package org.sassafrastrail.application;

import java.io.PrintStream;
import java.time.Clock;
import java.util.Arrays;
import java.util.List;

import org.sassafrastrail.operator.ExitCode;
import org.sassafrastrail.operator.OperatorCommandLine;
import org.sassafrastrail.runtime.Logging;

/** Starts the program that the first word names. */
public final class Main {

    /** Commands answer on standard output and log only what went wrong. */
    private static final String QUIET = "WARN";

    private Main() {}

    /**
     * Runs a program and ends the process with its exit code.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        ExitCode code = run(Arrays.asList(arguments), Clock.systemUTC(), System.out);
        if (code != ExitCode.DONE || arguments[0].equals(Rehearsal.WORD)) {
            System.exit(code.number());
        }
    }

    static ExitCode run(List<String> arguments, Clock clock, PrintStream output) {
        Programs programs = new Programs(clock);
        OperatorCommandLine operators = new OperatorCommandLine(clock);
        if (arguments.isEmpty() || arguments.equals(List.of("--help"))) {
            programs.usage().forEach(output::println);
            output.println(LoadProgram.USAGE);
            output.println(Rehearsal.WORD);
            operators.usage().forEach(output::println);
            return arguments.isEmpty() ? ExitCode.USAGE : ExitCode.DONE;
        }
        if (arguments.get(0).equals(LoadProgram.WORD)) {
            return new LoadProgram(clock).run(arguments, output);
        }
        if (arguments.get(0).equals(Rehearsal.WORD)) {
            return Rehearsal.run(clock, output);
        }
        if (programs.has(arguments.get(0))) {
            return programs.run(arguments, output);
        }
        Logging.configure(QUIET);
        return operators.run(arguments, output);
    }
}
