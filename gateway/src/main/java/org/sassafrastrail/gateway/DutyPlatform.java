package org.sassafrastrail.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.sassafrastrail.durable.TableWriteResult;
import org.sassafrastrail.duty.FencingToken;
import org.sassafrastrail.duty.LeaseRow;
import org.sassafrastrail.duty.ReportQueue;
import org.sassafrastrail.duty.UsageReport;

/** The platform's side of duties: the rows of its store, and its API. All methods block. */
public interface DutyPlatform {

    /**
     * The row of a lease as it was read.
     *
     * @param row the content, empty if there is no row
     * @param version the version, 0 if there is no row
     */
    record StoredLease(Optional<LeaseRow> row, long version) {}

    /**
     * The result of a call of the API.
     *
     * @param accepted whether the API accepted the call
     * @param cause the status of the answer, or why there is none
     */
    record CallResult(boolean accepted, String cause) {}

    /**
     * Returns the era of the store.
     *
     * @return the era, 0 if it is not known
     */
    long era();

    /**
     * Reads the row of a lease.
     *
     * @param duty the name of the duty
     * @return the row, empty if the store could not be read
     */
    Optional<StoredLease> readLease(String duty);

    /**
     * Writes the row of a lease.
     *
     * @param duty the name of the duty
     * @param row the content
     * @param expectedVersion the version that the row must have, 0 if there must be none
     * @return the result
     */
    TableWriteResult writeLease(String duty, LeaseRow row, long expectedVersion);

    /**
     * Reads the usage reports whose content is agreed on.
     *
     * @return the reports, empty if the store could not be read
     */
    Optional<List<ReportQueue.AgreedReport>> readReports();

    /**
     * Agrees on the content of a usage report, unless there is one for its window.
     *
     * @param report the report
     * @return the result
     */
    TableWriteResult agreeOn(UsageReport report);

    /**
     * Removes a usage report from the store.
     *
     * @param report the report
     * @return the result
     */
    TableWriteResult remove(ReportQueue.AgreedReport report);

    /**
     * Sends a usage report to the API.
     *
     * @param holder the name of this gateway
     * @param token its fencing token
     * @param report the report
     * @param timeout the maximum time until the answer
     * @return the result
     */
    CallResult send(String holder, FencingToken token, UsageReport report, Duration timeout);
}
