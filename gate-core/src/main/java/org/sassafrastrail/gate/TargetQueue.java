package org.sassafrastrail.gate;

import java.util.stream.Stream;

import org.pcollections.HashTreePMap;
import org.pcollections.OrderedPSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The queued requests of one target. They are kept by client account, so that the next ones in scheduling order are found without
 * looking at all of them.
 *
 * @param firstAttempts the numbers of the requests without an attempt, by account, oldest first
 * @param retries the numbers of the requests with an attempt, oldest first
 */
record TargetQueue(PMap<String, PSet<Long>> firstAttempts, PSet<Long> retries) {

    static final TargetQueue EMPTY = new TargetQueue(HashTreePMap.empty(), OrderedPSet.empty());

    TargetQueue plus(Call call) {
        if (call.attempts() > 0) {
            return new TargetQueue(firstAttempts, retries.plus(call.number()));
        }
        String account = SchedulingOrder.account(call);
        return new TargetQueue(firstAttempts.plus(account, ofAccount(account).plus(call.number())), retries);
    }

    TargetQueue minus(Call call) {
        if (call.attempts() > 0) {
            return new TargetQueue(firstAttempts, retries.minus(call.number()));
        }
        String account = SchedulingOrder.account(call);
        PSet<Long> remaining = ofAccount(account).minus(call.number());
        return new TargetQueue(
                remaining.isEmpty() ? firstAttempts.minus(account) : firstAttempts.plus(account, remaining), retries);
    }

    PSet<Long> ofAccount(String account) {
        return firstAttempts.getOrDefault(account, OrderedPSet.empty());
    }

    /** Returns the accounts with requests that have no attempt yet. */
    Stream<String> accounts() {
        return firstAttempts.keySet().stream();
    }

    boolean isEmpty() {
        return firstAttempts.isEmpty() && retries.isEmpty();
    }
}
