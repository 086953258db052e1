package org.acaciacourse.core.memory;

import java.util.ArrayList;
import java.util.List;

import org.acaciacourse.core.memory.IncomingRequests.Decision;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class IncomingRequestsTests {

	private static final long LIMIT = 1_000;

	private final MemoryBudget budget = new MemoryBudget(LIMIT);

	private final IncomingRequests<IncomingRequest> requests = new IncomingRequests<>(this.budget);

	private IncomingRequest buffered(long bytes) {
		IncomingRequest request = new IncomingRequest();
		assertThat(this.requests.buffer(request, bytes).isGranted()).isTrue();
		return request;
	}

	private IncomingRequest complete(long bytes) {
		IncomingRequest request = new IncomingRequest();
		assertThat(this.requests.take(request, bytes).isGranted()).isTrue();
		assertThat(this.requests.complete(request)).isTrue();
		return request;
	}

	@Nested
	class Crowds {

		// Guards against callers that begin large requests, never end them, and keep
		// callers with small ones out.
		@Test
		void smallRequestTakesTheRoomOfTheLargestIncompleteOne() {
			buffered(300);
			IncomingRequest largest = buffered(400);
			buffered(300);
			Decision<IncomingRequest> small = IncomingRequestsTests.this.requests.take(new IncomingRequest(), 50);
			assertThat(small).isEqualTo(new Decision<>(true, List.of(largest)));
			assertThat(largest.held()).isEqualTo(0);
			assertThat(IncomingRequestsTests.this.budget.used()).isEqualTo(650);
		}

		// Guards against a caller that pushes smaller requests out with a larger one.
		@Test
		void largestOneIsRefusedItself() {
			List<IncomingRequest> others = new ArrayList<>();
			for (int i = 0; i < 5; i++) {
				others.add(buffered(200));
			}
			Decision<IncomingRequest> large = IncomingRequestsTests.this.requests.take(others.get(0), 100);
			assertThat(large).isEqualTo(new Decision<>(false, List.of()));
			assertThat(others.stream().mapToLong(IncomingRequest::held).sum()).isEqualTo(LIMIT);
		}

		// Guards against a crowd of many incomplete requests of a moderate size that
		// keeps
		// smaller ones out.
		@Test
		void smallHeadTakesTheRoomOfLargerIncompleteOnes() {
			for (int i = 0; i < 62; i++) {
				buffered(16);
			}
			assertThat(IncomingRequestsTests.this.requests.take(new IncomingRequest(), 5).isGranted()).isTrue();
		}

		// Guards against large complete requests that wait for endpoints and leave no
		// room
		// for small ones.
		@Test
		void largeRequestsLeaveRoomForSmallOnes() {
			int received = 0;
			for (int i = 0; i < 100; i++) {
				IncomingRequest large = new IncomingRequest();
				if (IncomingRequestsTests.this.requests.take(large, 50).isGranted()
						&& IncomingRequestsTests.this.requests.complete(large)) {
					received++;
				}
				else {
					IncomingRequestsTests.this.requests.release(large);
				}
			}
			assertThat(received).isEqualTo(19);
			for (int i = 0; i < 9; i++) {
				complete(5);
			}
		}

	}

	@Nested
	class Lives {

		// Guards against a single request that is refused although there is room for it.
		@Test
		void singleLargeHeadIsReceived() {
			IncomingRequest single = buffered(400);
			assertThat(IncomingRequestsTests.this.requests.take(single, 600).isGranted()).isTrue();
		}

		// Guards against a request that is refused although an endpoint may run it.
		@Test
		void completeRequestIsNeverRefused() {
			complete(900);
			Decision<IncomingRequest> other = IncomingRequestsTests.this.requests.take(new IncomingRequest(), 200);
			assertThat(other).isEqualTo(new Decision<>(false, List.of()));
		}

		// Guards against memory that is lost with each request.
		@Test
		void releasedRequestsGiveAllBack() {
			IncomingRequest request = buffered(100);
			IncomingRequestsTests.this.requests.take(request, 200);
			IncomingRequestsTests.this.requests.buffer(request, 0);
			IncomingRequestsTests.this.requests.take(request, 300);
			assertThat(IncomingRequestsTests.this.requests.complete(request)).isTrue();
			IncomingRequestsTests.this.requests.bufferPipelined(request, 50);
			assertThat(IncomingRequestsTests.this.budget.used(MemoryUse.REQUESTS)).isEqualTo(550);
			IncomingRequestsTests.this.requests.release(request);
			IncomingRequestsTests.this.requests.release(request);
			assertThat(IncomingRequestsTests.this.budget.used()).isEqualTo(0);
		}

		// Guards against callers that announce bodies, do not send them, and keep others
		// out.
		@Test
		void announcedBodyTakesNothing() {
			assertThat(IncomingRequestsTests.this.requests.announceBody(new IncomingRequest(), LIMIT).isGranted())
				.isTrue();
			assertThat(IncomingRequestsTests.this.requests.announceBody(new IncomingRequest(), LIMIT + 1).isGranted())
				.isFalse();
			assertThat(IncomingRequestsTests.this.budget.used()).isEqualTo(0);
		}

	}

}
