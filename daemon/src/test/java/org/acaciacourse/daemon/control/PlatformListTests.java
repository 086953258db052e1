package org.acaciacourse.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.acaciacourse.core.dispatch.EndpointStatus;
import org.acaciacourse.daemon.endpoint.StutteringServer;
import org.acaciacourse.daemon.endpoint.StutteringServer.Position;
import org.acaciacourse.protocol.generated.EndpointNotice;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static com.google.common.truth.Truth.assertThat;

@Timeout(value = 60, unit = TimeUnit.SECONDS)
class PlatformListTests {

	private final AtomicInteger reads = new AtomicInteger();

	private final BlockingQueue<List<EndpointNotice>> changes = new LinkedBlockingQueue<>();

	// Each read finds the endpoint in the state that follows the one before.
	private String nextState() {
		return switch (this.reads.incrementAndGet()) {
			case 1 -> "leaving";
			case 2 -> "gone";
			default -> "live";
		};
	}

	// Guards against a late response to an earlier read that is taken for the list as it
	// is now.
	@ParameterizedTest
	@EnumSource
	void lateResponseIsNoList(Position position) throws Exception {
		try (StutteringServer server = new StutteringServer(position,
				(request) -> StutteringServer.response(200, "",
						"{\"endpoints\":[{\"name\":\"e\",\"state\":\"" + nextState() + "\"}]}"));
				PlatformList list = new PlatformList(Optional.of("http://" + server.address() + "/"))) {
			list.start(() -> this.changes.add(list.notices()));
			assertThat(this.changes.take()).containsExactly(new EndpointNotice("e", EndpointStatus.LEAVING.ordinal()));
			assertThat(this.changes.take()).containsExactly(new EndpointNotice("e", EndpointStatus.GONE.ordinal()));
			assertThat(this.reads.get()).isEqualTo(2);
		}
	}

}
