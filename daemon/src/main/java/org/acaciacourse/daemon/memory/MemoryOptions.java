package org.acaciacourse.daemon.memory;

import java.time.Duration;
import java.util.Objects;

import io.netty.util.internal.PlatformDependent;
import org.acaciacourse.core.memory.MemoryBudget;

/**
 * Options of the memory budget of an entry VM.
 * <p>
 * Immutable and thread safe.
 *
 * @param bytes the bytes of the budget
 * @param readLimit for how long a caller may take nothing of its response while bytes
 * wait
 */
public record MemoryOptions(long bytes, Duration readLimit) {

	/** Longer than a caller's device is out of reach when it changes networks. */
	public static final Duration DEFAULT_READ_LIMIT = Duration.ofSeconds(10);

	public MemoryOptions {
		Objects.requireNonNull(readLimit, "readLimit");
		if (bytes <= 0 || readLimit.isNegative() || readLimit.isZero()) {
			throw new IllegalArgumentException("not positive: " + bytes + " bytes, " + readLimit);
		}
	}

	/**
	 * Return the options of a VM, with a budget that this process can hold.
	 * @param megabytes the memory of the VM in units of 1,048,576 bytes
	 * @param readLimit for how long a caller may take nothing
	 * @return the options
	 */
	public static MemoryOptions ofVm(double megabytes, Duration readLimit) {
		return new MemoryOptions(
				MemoryBudget.limit(megabytes, Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory()),
				readLimit);
	}

}
