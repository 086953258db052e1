package org.acaciacourse.daemon.control;

import java.util.List;
import java.util.Map;

import org.acaciacourse.core.scaling.FleetDemand;
import org.acaciacourse.core.scaling.PoolDemand;
import org.acaciacourse.daemon.codec.DemandCodec;
import org.acaciacourse.protocol.generated.PollRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** The demand that a control VM knows from polls and from the other control VMs. */
class EntryDemandTests {

	private final EntryRegistry registry = new EntryRegistry();

	@BeforeEach
	void hear() {
		this.registry.peersHeard(true);
	}

	private static PollRequest poll(String vm) {
		return new PollRequest(vm, vm + "/1", "accra-a", 1, "", 0, 0, List.of(), false, false, 0, "");
	}

	private static PollRequest poll(String vm, long begun) {
		return poll(vm).setDemand(DemandCodec.encode(Map.of("llm", demand(begun))));
	}

	private static PoolDemand demand(long begun) {
		return new PoolDemand(3_000 * begun, 20 * begun, begun, 1, 2, 3, 4);
	}

	@Test
	void isThatOfAllEntriesWhereverTheyPoll() {
		EntryRegistry other = new EntryRegistry();
		other.recordPoll(poll("entry-1", 5), 1_000);
		this.registry.recordPoll(poll("entry-2", 7), 1_000);
		this.registry.updateFromPeer("127.0.0.1:2", other.localEntries(false, 1_000), 1_000);
		FleetDemand known = this.registry.demand(1_000);
		assertThat(known.complete()).isTrue();
		assertThat(known.of("llm")).isEqualTo(demand(5).plus(demand(7)));
	}

	// Guards against a demand that is lost as it has not changed and is not told again.
	@Test
	void staysAsItWasToldWhileTheEntryPolls() {
		this.registry.recordPoll(poll("entry-1", 5), 1_000);
		for (long now = 2_000; now < 60_000; now += 1_000) {
			this.registry.recordPoll(poll("entry-1"), now);
			assertThat(this.registry.demand(now).of("llm").begun()).isEqualTo(5);
			assertThat(this.registry.demand(now).complete()).isTrue();
		}
	}

	// Guards against orders that fall with the demand of an entry that is silent.
	@Test
	void ofASilentEntryIsIncompleteAfterFiveSecondsAndForgottenAfterTen() {
		this.registry.recordPoll(poll("entry-1", 5), 0);
		assertThat(this.registry.demand(5_000).complete()).isTrue();
		assertThat(this.registry.demand(5_001).complete()).isFalse();
		assertThat(this.registry.demand(10_000).of("llm").begun()).isEqualTo(5);
		assertThat(this.registry.demand(10_001).pools()).isEmpty();
	}

	@Test
	void isIncompleteWhereAnEntryOrAControlVmTellsNothing() {
		this.registry.recordPoll(poll("entry-1", 5), 0);
		this.registry.recordPoll(poll("entry-2"), 0);
		assertThat(this.registry.demand(0).complete()).isFalse();
		this.registry.recordPoll(poll("entry-2", 1), 0);
		assertThat(this.registry.demand(0).complete()).isTrue();
		this.registry.peersHeard(false);
		assertThat(this.registry.demand(0).complete()).isFalse();
	}

}
