package org.acaciacourse.core.balance;

import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class ConnectionShareTests {

	private static final int MAX_CONNECTIONS = 630;

	private static final int VMS = 95;

	private final ConnectionShare share = ConnectionShare.of(MAX_CONNECTIONS, VMS);

	private int limit(int usedByOthers) {
		int used = 0;
		while (this.share.hasLeft(used, usedByOthers)) {
			used++;
		}
		return used;
	}

	// Guards against requests that are refused at a VM with nearly all callers, for
	// connections that the others do not use.
	@Test
	void connectionsThatNoOtherVmUsesAreLeft() {
		assertThat(this.share.own()).isEqualTo(5);
		assertThat(limit(0)).isAtLeast(150);
		assertThat(limit(30)).isAtLeast(100);
	}

	@Test
	void ownShareIsLeftInAnyCase() {
		assertThat(limit(MAX_CONNECTIONS)).isEqualTo(5);
		assertThat(limit(MAX_CONNECTIONS / 2)).isEqualTo(5);
	}

	// Guards against more connections than an endpoint accepts while VMs know late what
	// the others use.
	@ParameterizedTest
	@CsvSource({ "95, 630, 95", "95, 630, 2", "95, 630, 10", "6, 360, 6", "6, 96, 3", "9, 110, 9" })
	void vmsThatKnowLateWhatOthersUseDoNotExceedTheLimit(int vms, int maxConnections, int pressing) {
		ConnectionShare each = ConnectionShare.of(maxConnections, vms);
		Random random = new Random(vms + pressing);
		int[] used = new int[vms];
		int[] told = new int[vms];
		for (int step = 0; step < 20_000; step++) {
			int vm = random.nextInt(pressing);
			int others = IntStream.of(told).sum() - told[vm];
			if (each.hasLeft(used[vm], others)) {
				used[vm]++;
			}
			// Each VM tells the others once in as many steps as a pressing VM takes for
			// three requests.
			if (step % 3 == 0) {
				int telling = random.nextInt(vms);
				told[telling] = used[telling];
			}
			assertWithMessage("connections at step %s", step).that(IntStream.of(used).sum()).isAtMost(maxConnections);
		}
	}

}
