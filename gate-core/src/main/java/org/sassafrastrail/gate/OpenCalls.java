package org.sassafrastrail.gate;

import org.pcollections.HashTreePMap;
import org.pcollections.OrderedPSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The requests without a final response.
 *
 * @param calls the requests, by number
 * @param queued the numbers of those that wait for an attempt, oldest first
 */
record OpenCalls(PMap<Long, Call> calls, PSet<Long> queued) {

    static final OpenCalls NONE = new OpenCalls(HashTreePMap.empty(), OrderedPSet.empty());

    OpenCalls with(Call next) {
        return new OpenCalls(
                calls.plus(next.number(), next),
                next.isQueued() ? queued.plus(next.number()) : queued.minus(next.number()));
    }

    OpenCalls without(Call ended) {
        return new OpenCalls(calls.minus(ended.number()), queued.minus(ended.number()));
    }
}
