package org.acaciacourse.core.stream;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class StreamOriginsTests {

	private static final StreamOrigin V1 = new StreamOrigin("pool", Optional.of("v1"));

	private static final StreamOrigin V2 = new StreamOrigin("pool", Optional.of("v2"));

	private static final int STREAMS = 200;

	private static final long SECOND = 1_000 * OriginNetwork.MILLI;

	private static StreamKey key(int number) {
		return new StreamKey("customer", "request-" + number);
	}

	private static StreamOrigin originOf(int number) {
		return (number % 2 == 0) ? V1 : V2;
	}

	/** Begin streams at all VMs by turns. */
	private static void begin(OriginNetwork network) {
		for (int i = 0; i < STREAMS; i++) {
			network.begin(network.addresses().get(i % network.addresses().size()), key(i), originOf(i));
		}
	}

	@Nested
	class LossOfAllEntries {

		private static void endAll(OriginNetwork network) {
			network.addresses().forEach(network::end);
			network.addresses().forEach(network::start);
		}

		// Guards against origins that are lost with all entry VMs while control lives on.
		@ParameterizedTest
		@ValueSource(ints = { 1, 6, 95 })
		void originIsFoundAtControl(int size) {
			OriginNetwork network = new OriginNetwork(size, 3, 0, size);
			begin(network);
			network.run(3 * OriginNetwork.MILLI);
			endAll(network);
			network.endControl(0);
			for (int i = 0; i < STREAMS; i++) {
				String vm = network.addresses().get((i + 1) % size);
				assertWithMessage("stream %s", i).that(network.find(vm, key(i))).isEqualTo(Optional.of(originOf(i)));
			}
		}

		// Guards against an origin that is lost with the datagrams that told it to
		// control, and against a question that is lost.
		@Test
		void originIsFoundThoughDatagramsAreLost() {
			OriginNetwork network = new OriginNetwork(6, 5, 0.1, 1);
			begin(network);
			network.run(3 * SECOND);
			endAll(network);
			for (int i = 0; i < STREAMS; i++) {
				String vm = network.addresses().get(i % 6);
				assertWithMessage("stream %s", i).that(network.find(vm, key(i))).isEqualTo(Optional.of(originOf(i)));
			}
		}

		// Guards against control VMs that are started again and forget the streams that
		// are served.
		@Test
		void originIsToldAgainToControlVmsThatStartedAnew() {
			OriginNetwork network = new OriginNetwork(6, 3, 0, 1);
			begin(network);
			network.run(20 * OriginNetwork.MILLI);
			for (int i = 0; i < 3; i++) {
				network.restartControl(i);
			}
			network.run(2 * SECOND);
			endAll(network);
			for (int i = 0; i < STREAMS; i++) {
				assertWithMessage("stream %s", i).that(network.find(network.addresses().get(0), key(i)))
					.isEqualTo(Optional.of(originOf(i)));
			}
		}

		// Guards against a control VM that goes on to tell a version that was retracted.
		@Test
		void versionThatWasRetractedIsNotKnownToControlEither() {
			OriginNetwork network = new OriginNetwork(6, 3, 0, 1);
			String server = network.addresses().get(0);
			network.begin(server, key(1), V1);
			network.run(20 * OriginNetwork.MILLI);
			network.retract(server, key(1));
			network.run(2 * SECOND);
			endAll(network);
			assertThat(network.find(network.addresses().get(1), key(1)).map(StreamOrigin::version))
				.isEqualTo(Optional.of(Optional.empty()));
		}

		// Guards against an origin that is guessed when control has lost it as well.
		@Test
		void originIsUnknownOnceControlHasEndedToo() {
			OriginNetwork network = new OriginNetwork(6, 3, 0, 1);
			begin(network);
			network.run(3 * OriginNetwork.MILLI);
			endAll(network);
			for (int i = 0; i < 3; i++) {
				network.endControl(i);
			}
			assertThat(network.find(network.addresses().get(0), key(1))).isEqualTo(Optional.empty());
		}

	}

	@Nested
	class TakenUpElsewhere {

		// Guards against an origin that is lost with the VM that served the stream.
		@ParameterizedTest
		@ValueSource(ints = { 2, 6, 95 })
		void originIsFoundAtAnyVmRightAfterTheOneThatServedIsGone(int size) {
			OriginNetwork network = new OriginNetwork(size, 0, size);
			begin(network);
			network.run(3 * OriginNetwork.MILLI);
			String server = network.addresses().get(0);
			network.end(server);
			for (int i = 0; i < STREAMS; i += size) {
				for (String other : network.vms()) {
					assertThat(network.find(other, key(i))).isEqualTo(Optional.of(originOf(i)));
				}
			}
		}

		// Guards against an origin that is lost with the datagrams that told it, or the
		// questions for it.
		@ParameterizedTest
		@ValueSource(ints = { 2, 6, 95 })
		void originIsFoundThoughDatagramsAreLost(int size) {
			OriginNetwork network = new OriginNetwork(size, 0.1, size);
			begin(network);
			network.run(3 * SECOND);
			for (int i = 0; i < STREAMS; i++) {
				String other = network.addresses().get((i + 1) % size);
				assertWithMessage("stream %s", i).that(network.find(other, key(i))).isEqualTo(Optional.of(originOf(i)));
			}
		}

		// Guards against a lookup that ends without result as its only question was lost.
		@Test
		void originIsFoundThoughTheFirstQuestionIsLost() {
			OriginNetwork network = new OriginNetwork(12, 0, 1);
			String server = network.addresses().get(0);
			network.begin(server, key(1), V1);
			network.run(20 * OriginNetwork.MILLI);
			network.end(server);
			for (String vm : network.vms()) {
				network.loseAllFor(20 * OriginNetwork.MILLI);
				assertWithMessage(vm).that(network.find(vm, key(1))).isEqualTo(Optional.of(V1));
			}
		}

		// Guards against callers whose streams don't go on because many VMs ended at
		// once.
		@ParameterizedTest
		@ValueSource(ints = { 6, 95 })
		void mostOriginsAreFoundWhenSixOfTenVmsEndAtOnce(int size) {
			int notFound = 0;
			for (int seed = 0; seed < 5; seed++) {
				OriginNetwork network = new OriginNetwork(size, 0.03, seed);
				begin(network);
				network.run(20 * OriginNetwork.MILLI);
				List<String> shuffled = new ArrayList<>(network.addresses());
				Collections.shuffle(shuffled, new Random(seed));
				shuffled.subList(0, size * 6 / 10).forEach(network::end);
				for (int i = 0; i < STREAMS; i++) {
					Optional<StreamOrigin> found = network.find(network.vms().get(i % network.vms().size()), key(i));
					notFound += (found.isEmpty()) ? 1 : 0;
					found.ifPresent((origin) -> assertThat(origin).isIn(List.of(V1, V2)));
				}
			}
			assertThat(notFound).isLessThan(5 * STREAMS / 2);
		}

		// Guards against VMs that are started again in turn and forget the streams of the
		// others.
		@Test
		void originIsToldAgainWhileItsStreamIsServed() {
			OriginNetwork network = new OriginNetwork(6, 0.1, 1);
			String server = network.addresses().get(0);
			network.begin(server, key(1), V1);
			// The first telling has arrived everywhere before a VM is started again.
			network.run(20 * OriginNetwork.MILLI);
			for (String vm : network.addresses().subList(1, 6)) {
				network.end(vm);
				network.start(vm);
				network.run(3 * SECOND);
			}
			network.end(server);
			assertThat(network.find(network.addresses().get(3), key(1))).isEqualTo(Optional.of(V1));
		}

		// Guards against VMs whose lists of one another differ and that ask the wrong
		// ones.
		@Test
		void originIsFoundAfterTheListOfVmsHasChanged() {
			OriginNetwork network = new OriginNetwork(20, 0, 1);
			network.tellPeers(network.addresses().subList(0, 16));
			begin(network);
			network.run(20 * OriginNetwork.MILLI);
			network.tellPeers(network.addresses());
			for (int i = 0; i < STREAMS; i++) {
				assertThat(network.find(network.addresses().get(19), key(i))).isEqualTo(Optional.of(originOf(i)));
			}
		}

	}

	@Nested
	class NotKnown {

		// Guards against callers that are held for an origin that nobody tells.
		@Test
		void lookupEndsWhenNobodyAnswers() {
			OriginNetwork network = new OriginNetwork(6, 0, 1);
			network.addresses().subList(1, 6).forEach(network::end);
			long begun = network.now();
			assertThat(network.find(network.addresses().get(0), key(1))).isEqualTo(Optional.empty());
			assertThat(network.now() - begun).isAtMost(300 * OriginNetwork.MILLI);
		}

		@Test
		void lookupEndsAtOnceWhenAllHaveAnswered() {
			OriginNetwork network = new OriginNetwork(6, 0, 1);
			long begun = network.now();
			assertThat(network.find(network.addresses().get(0), key(1))).isEqualTo(Optional.empty());
			assertThat(network.now() - begun).isAtMost(10 * OriginNetwork.MILLI);
		}

		@Test
		void singleVmKnowsItsOwnStreamsOnly() {
			OriginNetwork network = new OriginNetwork(1, 0, 1);
			String vm = network.addresses().get(0);
			network.begin(vm, key(1), V1);
			assertThat(network.find(vm, key(1))).isEqualTo(Optional.of(V1));
			assertThat(network.find(vm, key(2))).isEqualTo(Optional.empty());
		}

		@Test
		void streamOfAnotherCustomerIsNotFound() {
			OriginNetwork network = new OriginNetwork(6, 0, 1);
			network.begin(network.addresses().get(0), key(1), V1);
			network.run(SECOND);
			StreamKey other = new StreamKey("other", key(1).request());
			assertThat(network.find(network.addresses().get(1), other)).isEqualTo(Optional.empty());
		}

		// Guards against two streams of one name of which one goes on at the version of
		// the
		// other.
		@Test
		void versionOfStreamsWithTheSameNameIsNotGuessed() {
			OriginNetwork network = new OriginNetwork(6, 0, 1);
			network.begin(network.addresses().get(0), key(1), V1);
			network.begin(network.addresses().get(1), key(1), V2);
			network.run(20 * OriginNetwork.MILLI);
			assertThat(network.find(network.addresses().get(2), key(1)))
				.isEqualTo(Optional.of(new StreamOrigin("pool", Optional.empty())));
		}

	}

	@Nested
	class Completeness {

		private static StreamOrigins.Found lookUp(OriginNetwork network) {
			return network.lookUp(network.addresses().get(0), key(1));
		}

		@Test
		void lookupThatAllHaveAnsweredIsComplete() {
			StreamOrigins.Found found = lookUp(new OriginNetwork(6, 3, 0, 1));
			assertThat(found.origin()).isEqualTo(Optional.empty());
			assertThat(found.isComplete()).isTrue();
			assertThat(found.asked()).isEqualTo(8);
			assertThat(found.answered()).isEqualTo(8);
		}

		// Guards against a VM that is cut off and takes silence for the answer that
		// nobody knows the stream.
		@Test
		void lookupThatNobodyAnswersIsNotComplete() {
			OriginNetwork network = new OriginNetwork(6, 3, 0, 1);
			network.loseAllFor(SECOND);
			StreamOrigins.Found found = lookUp(network);
			assertThat(found.isComplete()).isFalse();
			assertThat(found.asked()).isEqualTo(8);
			assertThat(found.answered()).isEqualTo(0);
		}

		// Guards against a stream that is known to none but the VM that does not answer.
		@Test
		void lookupThatOneDoesNotAnswerIsNotComplete() {
			OriginNetwork network = new OriginNetwork(6, 3, 0, 1);
			network.end(network.addresses().get(3));
			StreamOrigins.Found found = lookUp(network);
			assertThat(found.isComplete()).isFalse();
			assertThat(found.answered()).isEqualTo(7);
		}

		// Guards against a VM that knows no others and takes that for the answer that
		// nobody knows the stream.
		@Test
		void lookupOfAVmThatKnowsNoOthersIsNotComplete() {
			StreamOrigins.Found found = lookUp(new OriginNetwork(1, 0, 1));
			assertThat(found.isComplete()).isFalse();
			assertThat(found.asked()).isEqualTo(0);
		}

		// Guards against a VM that stands still while it asks: its timer ends the lookup
		// before the answers that have arrived are read.
		@Test
		void lookupThatEndsRightAfterAStandstillIsNotComplete() {
			OriginNetwork network = new OriginNetwork(6, 3, 0, 1);
			String vm = network.addresses().get(0);
			network.begin(network.addresses().get(1), key(1), V2);
			network.end(network.addresses().get(1));
			network.ask(vm, key(1));
			network.freeze(vm, 2 * SECOND);
			network.run(2 * SECOND);
			StreamOrigins.Found found = network.result(key(1)).orElseThrow();
			assertThat(found.origin()).isEqualTo(Optional.empty());
			assertThat(found.isComplete()).isFalse();
		}

	}

	@Nested
	class Bounds {

		// Guards against memory that grows with the streams of a day.
		@Test
		void oldestOriginsAreForgotten() {
			OriginTable table = new OriginTable();
			IntStream.range(0, OriginTable.MAX_STREAMS + 5).forEach((i) -> table.record(key(i), V1, i));
			assertThat(table.size()).isEqualTo(OriginTable.MAX_STREAMS);
			assertThat(table.find(key(4), 0)).isEqualTo(Optional.empty());
			assertThat(table.find(key(5), 0)).isEqualTo(Optional.of(V1));
			assertThat(table.find(key(5), OriginTable.RETENTION_NANOS + 6)).isEqualTo(Optional.empty());
		}

		@Test
		void longIdsTakeNoMoreRoomThanOthers() {
			StreamKey key = new StreamKey("", "x".repeat(10_000));
			assertThat(key.request().length()).isAtMost(64);
			assertThat(key).isEqualTo(new StreamKey("", "x".repeat(10_000)));
			assertThat(key).isNotEqualTo(new StreamKey("", "x".repeat(9_999)));
			assertThat(new StreamKey("", key.request())).isEqualTo(key);
		}

		// Guards against messages that grow with the number of VMs.
		@Test
		void streamCostsAFewMessagesHoweverManyVmsThereAre() {
			OriginNetwork network = new OriginNetwork(95, 0, 1);
			begin(network);
			IntStream.range(0, STREAMS).forEach((i) -> network.ended(network.addresses().get(i % 95), key(i)));
			network.run(5 * SECOND);
			assertThat(network.sent()).isAtMost(4 * STREAMS);
			network.find(network.addresses().get(94), key(1));
			assertThat(network.sent()).isAtMost(4 * STREAMS + 16);
		}

	}

}
