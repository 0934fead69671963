package org.sassafrastrail.operator;

import java.util.List;

/** One of the operators' commands. */
interface OperatorCommand {

    /**
     * Tells the words that name the command and its arguments.
     *
     * @return one line of usage
     */
    String usage();

    /**
     * Tells whether the words name this command.
     *
     * @param words the words of the command line without options
     * @return whether they do
     */
    boolean matches(List<String> words);

    /**
     * Runs the command.
     *
     * @param call what the operator asked for
     * @return how it ended
     */
    ExitCode run(CommandContext context);
}
