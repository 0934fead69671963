package org.sassafrastrail.gate.capacity;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Compares the upstreams of one target by the times of their responses. */
final class TargetEstimates {

    /** With fewer responses, nothing is said of an upstream. */
    private static final double MIN_RESPONSES = 3;

    private TargetEstimates() {}

    /**
     * Returns the upstreams that differ from the median of the target.
     *
     * @param upstreams the sums of each upstream of the target
     * @param priorSlope the milliseconds for each unit of work that are assumed until responses show them
     */
    static Map<UpstreamWork, WorkEstimate> of(Map<UpstreamWork, ResponseSums> upstreams, double priorSlope) {
        Map<UpstreamWork, ResponseSums> known = upstreams.entrySet().stream()
                .filter(upstream -> upstream.getValue().count() >= MIN_RESPONSES
                        && upstream.getValue().time() > 0)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        if (known.size() < 2) {
            return Map.of();
        }
        double priorDeviation = known.keySet().iterator().next().kind().priorDeviation();
        TimeLine line = TimeLine.of(known.values(), priorSlope, priorDeviation);
        double spread = TimeRatio.spread(known.values(), line);
        Map<UpstreamWork, TimeRatio> ratios = known.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey, upstream -> TimeRatio.of(upstream.getValue(), line, spread)));
        double median =
                median(ratios.values().stream().map(TimeRatio::value).sorted().toList());
        return ratios.entrySet().stream()
                .collect(Collectors.toMap(
                        Map.Entry::getKey,
                        ratio -> new WorkEstimate(ratio.getValue().significantRatioTo(median))));
    }

    private static double median(List<Double> sorted) {
        int middle = sorted.size() / 2;
        return sorted.size() % 2 == 1 ? sorted.get(middle) : Math.sqrt(sorted.get(middle - 1) * sorted.get(middle));
    }
}
