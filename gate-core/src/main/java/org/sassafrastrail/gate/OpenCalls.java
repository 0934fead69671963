package org.sassafrastrail.gate;

import org.pcollections.HashTreePMap;
import org.pcollections.OrderedPSet;
import org.pcollections.PMap;
import org.pcollections.PSet;
import org.sassafrastrail.model.TargetName;

/**
 * The requests without a final response.
 *
 * @param calls the requests, by number
 * @param queued the numbers of those that wait for an attempt, oldest first
 * @param queues the same by target
 */
record OpenCalls(PMap<Long, Call> calls, PSet<Long> queued, PMap<TargetName, TargetQueue> queues) {

    static final OpenCalls NONE = new OpenCalls(HashTreePMap.empty(), OrderedPSet.empty(), HashTreePMap.empty());

    OpenCalls with(Call next) {
        OpenCalls removed = withoutQueued(next.number());
        PMap<Long, Call> changed = calls.plus(next.number(), next);
        return next.isQueued()
                ? new OpenCalls(
                        changed,
                        removed.queued.plus(next.number()),
                        removed.queues.plus(
                                next.target(), removed.queue(next.target()).plus(next)))
                : new OpenCalls(changed, removed.queued, removed.queues);
    }

    OpenCalls without(Call ended) {
        OpenCalls removed = withoutQueued(ended.number());
        return new OpenCalls(calls.minus(ended.number()), removed.queued, removed.queues);
    }

    private OpenCalls withoutQueued(long number) {
        Call known = calls.get(number);
        if (known == null || !known.isQueued()) {
            return this;
        }
        TargetQueue remaining = queue(known.target()).minus(known);
        return new OpenCalls(
                calls,
                queued.minus(number),
                remaining.isEmpty() ? queues.minus(known.target()) : queues.plus(known.target(), remaining));
    }

    TargetQueue queue(TargetName target) {
        return queues.getOrDefault(target, TargetQueue.EMPTY);
    }
}
