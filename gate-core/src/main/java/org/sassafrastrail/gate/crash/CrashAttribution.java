package org.sassafrastrail.gate.crash;

import java.util.Collection;

import org.pcollections.PSet;

/** Attributes crashes of upstreams to parts of prompts. */
public interface CrashAttribution {

    /**
     * Returns the causes of crashes. A request whose prompt has all parts of a cause would crash an upstream.
     *
     * @param crashes what is known of the crashes
     * @return the causes, each a set of parts
     */
    PSet<PSet<String>> causes(Collection<Crash> crashes);
}
