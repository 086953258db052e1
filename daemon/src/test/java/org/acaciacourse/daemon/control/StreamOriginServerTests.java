package org.acaciacourse.daemon.control;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.acaciacourse.core.stream.OriginMessage;
import org.acaciacourse.core.stream.StreamKey;
import org.acaciacourse.core.stream.StreamOrigin;
import org.acaciacourse.daemon.codec.LoadDigestCodec;
import org.acaciacourse.daemon.codec.OriginMessageCodec;
import org.acaciacourse.daemon.inner.InternalConnection;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;

@Timeout(value = 60, unit = TimeUnit.SECONDS)
class StreamOriginServerTests {

	private static final StreamKey KEY = new StreamKey("customer", "request");

	private static final StreamOrigin ORIGIN = new StreamOrigin("pool", Optional.of("v1"));

	private static byte[] message(OriginMessage.Kind kind, Optional<StreamOrigin> origin) {
		return OriginMessageCodec.encode(new OriginMessage(kind, List.of(new OriginMessage.Stream(KEY, origin))));
	}

	private static String freeAddress() throws IOException {
		try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
			return "127.0.0.1:" + socket.getLocalPort();
		}
	}

	// Guards against a datagram that can't be read and that ends the server.
	@Test
	void answersAfterADatagramThatIsNoMessage() throws IOException {
		String address = freeAddress();
		try (StreamOriginServer server = new StreamOriginServer(address);
				DatagramSocket entry = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
			server.start();
			for (byte[] datagram : List.of(new byte[0], new byte[] { 1, 2, 3 },
					message(OriginMessage.Kind.TELL, Optional.of(ORIGIN)),
					message(OriginMessage.Kind.ASK, Optional.empty()))) {
				entry.send(new DatagramPacket(datagram, datagram.length, InternalConnection.parse(address)));
			}
			DatagramPacket answer = new DatagramPacket(new byte[1_000], 1_000);
			entry.receive(answer);
			OriginMessage received = LoadDigestCodec.decode(Arrays.copyOf(answer.getData(), answer.getLength()))
				.get()
				.getLeft();
			assertThat(received).isEqualTo(new OriginMessage(OriginMessage.Kind.ANSWER,
					List.of(new OriginMessage.Stream(KEY, Optional.of(ORIGIN)))));
			assertThat(server.size()).isEqualTo(1);
		}
	}

}
