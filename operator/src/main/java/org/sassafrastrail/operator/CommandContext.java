package org.sassafrastrail.operator;

import java.io.PrintStream;
import java.time.Clock;
import java.util.List;

import org.sassafrastrail.durable.RuleFileStore;

/**
 * The arguments, settings and services with which a command runs.
 *
 * @param words the arguments of the command line without options
 * @param options the options
 * @param settings the settings
 * @param store the store of rule files
 * @param routers reads pages from the routers
 * @param output receives the output of the command
 * @param clock supplies the time of changes
 */
record CommandContext(
        List<String> words,
        OperatorOptions options,
        OperatorSettings settings,
        RuleFileStore store,
        RouterPageClient routers,
        PrintStream output,
        Clock clock) {

    void print(String line) {
        output.println(line);
    }

    String word(int index) {
        return words.get(index);
    }
}
