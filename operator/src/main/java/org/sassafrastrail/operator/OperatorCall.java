package org.sassafrastrail.operator;

import java.io.PrintStream;
import java.time.Clock;
import java.util.List;

import org.sassafrastrail.durable.RuleFileStore;

/**
 * What an operator asked for, and what it is answered with.
 *
 * @param words the words of the command line without options
 * @param options the options
 * @param settings the settings
 * @param store the accepted configurations
 * @param routers calls routers
 * @param output where answers go
 * @param clock tells the time
 */
record OperatorCall(
        List<String> words,
        OperatorOptions options,
        OperatorSettings settings,
        RuleFileStore store,
        RouterPages routers,
        PrintStream output,
        Clock clock) {

    void print(String line) {
        output.println(line);
    }

    String word(int place) {
        return words.get(place);
    }
}
