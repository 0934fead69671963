package org.sassafrastrail.gate;

/**
 * An attempt that is under way.
 *
 * @param number its number, from 1
 * @param upstream where it was sent
 * @param prefillTokens the tokens of its prompt that the upstream is believed not to have cached
 * @param reading whether the upstream has not begun to answer
 */
record Attempt(int number, Upstream upstream, long prefillTokens, boolean reading) {

    Attempt answering() {
        return new Attempt(number, upstream, prefillTokens, false);
    }
}
