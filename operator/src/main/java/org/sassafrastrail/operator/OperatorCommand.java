package org.sassafrastrail.operator;

import java.util.List;

/** A command of the operators' command line. */
interface OperatorCommand {

    /**
     * Returns the usage of the command.
     *
     * @return one line with the command's words and arguments
     */
    String usage();

    /**
     * Returns whether the arguments name this command.
     *
     * @param words the arguments of the command line without options
     * @return whether they match
     */
    boolean matches(List<String> words);

    /**
     * Runs the command.
     *
     * @param context the arguments, settings and services of the command
     * @return the exit code
     */
    ExitCode run(CommandContext context);
}
