package org.acaciacourse.daemon.codec;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.usage.RunUsage;
import org.acaciacourse.core.usage.UsageCollector.KnownRun;
import org.acaciacourse.core.usage.UsageReport;
import org.acaciacourse.protocol.generated.PollRequest;
import org.acaciacourse.protocol.generated.RunUsageRecord;
import org.acaciacourse.protocol.generated.UsageWindowRecord;

/**
 * Converts the usage of customers to and from the structs of the inner protocol.
 * <p>
 * Thread safe: stateless.
 */
public final class UsageCodec {

	private UsageCodec() {
	}

	/**
	 * Encode the usage of a window.
	 * @param report the usage
	 * @return the struct
	 */
	public static UsageWindowRecord encode(UsageReport report) {
		return new UsageWindowRecord(report.window(), report.counts());
	}

	/**
	 * Decode the usage of a window.
	 * @param struct the struct
	 * @return the usage
	 */
	public static UsageReport decode(UsageWindowRecord struct) {
		return new UsageReport(struct.getWindow(), struct.getCounts());
	}

	/**
	 * Encode the usage of several windows.
	 * @param reports the usage
	 * @return the structs
	 */
	public static List<UsageWindowRecord> encode(List<UsageReport> reports) {
		return reports.stream().map(UsageCodec::encode).toList();
	}

	/**
	 * Decode the usage of several windows.
	 * @param structs the structs
	 * @return the usage
	 */
	public static List<UsageReport> decode(List<UsageWindowRecord> structs) {
		return structs.stream().map(UsageCodec::decode).toList();
	}

	/**
	 * Decode the counts of an entry VM.
	 * @param poll its poll
	 * @return the counts, empty if the VM counts none
	 */
	public static Optional<RunUsage> decode(PollRequest poll) {
		if (!poll.isSetUsageCompleteUntil()) {
			return Optional.empty();
		}
		List<UsageReport> windows = (poll.isSetUsage()) ? decode(poll.getUsage()) : List.of();
		return Optional.of(new RunUsage(poll.getOwner(), poll.getUsageCompleteUntil(), windows));
	}

	/**
	 * Encode what a control VM knows of a run.
	 * @param known the run
	 * @return the struct
	 */
	public static RunUsageRecord encode(KnownRun known) {
		return new RunUsageRecord(known.usage().run(), known.usage().completeUntil(),
				TimeUnit.NANOSECONDS.toMillis(known.ageNanos()), encode(known.usage().windows()));
	}

	/**
	 * Decode what a control VM knows of a run.
	 * @param struct the struct
	 * @return the run
	 */
	public static KnownRun decode(RunUsageRecord struct) {
		RunUsage usage = new RunUsage(struct.getRun(), struct.getCompleteUntil(), decode(struct.getWindows()));
		return new KnownRun(usage, TimeUnit.MILLISECONDS.toNanos(struct.getAgeMillis()));
	}

}
