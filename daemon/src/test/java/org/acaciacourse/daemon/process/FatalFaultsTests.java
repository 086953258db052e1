package org.acaciacourse.daemon.process;

import java.util.ArrayList;
import java.util.List;

import org.acaciacourse.core.code.ResultCode;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link FatalFaults}.
 */
class FatalFaultsTests {

	private final List<String> events = new ArrayList<>();

	private final FatalFaults faults = new FatalFaults(() -> this.events.add("flush"),
			(status) -> this.events.add("exit " + status));

	private final Thread essential = new EssentialThread(() -> {
	}, "essential");

	private void assertEnds(Thread thread, Throwable fault, ResultCode code) {
		this.faults.uncaughtException(thread, fault);
		assertThat(this.events).containsExactly("flush", "exit " + code.exitStatus()).inOrder();
	}

	@Test
	void faultOfEssentialThreadEndsProcess() {
		assertEnds(this.essential, new IllegalStateException("a test"), ResultCode.INTERNAL);
	}

	@Test
	void errorOfAnyThreadEndsProcess() {
		assertEnds(new Thread(), new AssertionError("a test"), ResultCode.INTERNAL);
	}

	@Test
	void lackOfMemoryHasItsCode() {
		assertEnds(new Thread(), new OutOfMemoryError("a test"), ResultCode.OUT_OF_MEMORY);
	}

	@Test
	void exceptionOfOtherThreadDoesNotEndProcess() {
		this.faults.uncaughtException(new Thread(), new IllegalStateException("a test"));
		assertThat(this.events).isEmpty();
	}

	// Guards against a process that lives on as its log has no memory for the last line.
	@Test
	void processEndsWithoutItsLog() {
		FatalFaults silent = new FatalFaults(() -> {
			throw new OutOfMemoryError("a test");
		}, (status) -> this.events.add("exit " + status));
		try {
			silent.uncaughtException(this.essential, new AssertionError("a test"));
		}
		catch (OutOfMemoryError ex) {
			this.events.add("thrown");
		}
		assertThat(this.events).containsExactly("exit 70", "thrown").inOrder();
	}

}
