package org.sassafrastrail.gateway;

import java.time.Clock;

import org.sassafrastrail.duty.DutyHolder;
import org.sassafrastrail.runtime.EventLog;
import org.sassafrastrail.runtime.Metrics;

/**
 * What the parts of the duties depend on.
 *
 * @param self this gateway
 * @param settings the settings of the API and the duties
 * @param platform the platform's side
 * @param peers the links to the other gateways
 * @param clock a monotonic clock
 * @param metrics counts reports
 * @param log receives events of duties
 */
record DutyContext(
        DutyHolder self,
        DutySettings settings,
        DutyPlatform platform,
        DutyPeers peers,
        Clock clock,
        Metrics metrics,
        EventLog log) {}
