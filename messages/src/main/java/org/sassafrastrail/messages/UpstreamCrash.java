package org.sassafrastrail.messages;

import java.util.List;

/**
 * What a gateway knows of the crash of an upstream.
 *
 * @param upstream the identifier of the upstream
 * @param startedAtMillis the start of the upstream in wall-clock milliseconds, 0 if unknown
 * @param ageMilliseconds the time since the gateway observed the crash
 * @param confirmed whether the upstream is known to have crashed
 * @param suspects the prompt parts of the requests that were lost
 * @param cleared the prompt parts to which an upstream has responded since
 */
public record UpstreamCrash(
        String upstream,
        long startedAtMillis,
        long ageMilliseconds,
        boolean confirmed,
        List<SuspectPart> suspects,
        List<String> cleared) {}
