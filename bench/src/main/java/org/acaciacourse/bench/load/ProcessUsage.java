package org.acaciacourse.bench.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What the kernel has counted for a process.
 * <p>
 * Immutable and thread safe.
 *
 * @param processId the process
 * @param cpuSeconds the processor time used so far
 * @param residentKilobytes the memory in use
 */
public record ProcessUsage(long processId, double cpuSeconds, long residentKilobytes) {

	private static final double TICKS_PER_SECOND = 100;

	private static final int USER_TICKS = 11;

	private static final int SYSTEM_TICKS = 12;

	private static final String RESIDENT = "VmRSS:";

	/**
	 * Read what a process has used.
	 * @param processId the process
	 * @return what it has used
	 * @throws IOException if there is no such process
	 */
	public static ProcessUsage of(long processId) throws IOException {
		Path folder = Path.of("/proc", Long.toString(processId));
		String stat = Files.readString(folder.resolve("stat"));
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		long ticks = Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[SYSTEM_TICKS]);
		return new ProcessUsage(processId, ticks / TICKS_PER_SECOND, resident(folder));
	}

	private static long resident(Path folder) throws IOException {
		return Files.readAllLines(folder.resolve("status"))
			.stream()
			.filter((line) -> line.startsWith(RESIDENT))
			.mapToLong((line) -> Long.parseLong(line.replaceAll("[^0-9]", "")))
			.findFirst()
			.orElse(0);
	}

}
