package org.acaciacourse.daemon.inner;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vavr.control.Try;
import org.acaciacourse.daemon.codec.ThriftBytes;
import org.acaciacourse.protocol.generated.ControlService;
import org.acaciacourse.protocol.generated.ReadIndexReply;
import org.acaciacourse.protocol.generated.Result;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of a connection to a control VM, with a server that sends each reply twice.
 */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class InternalConnectionTests {

	private final AtomicInteger calls = new AtomicInteger();

	private ServerSocket server;

	@BeforeEach
	void start() throws IOException {
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		Thread thread = new Thread(this::serve);
		thread.setDaemon(true);
		thread.start();
	}

	@AfterEach
	void stop() throws IOException {
		this.server.close();
	}

	private void serve() {
		try (Socket socket = this.server.accept()) {
			DataInputStream in = new DataInputStream(socket.getInputStream());
			DataOutputStream out = new DataOutputStream(socket.getOutputStream());
			while (true) {
				byte[] frame = new byte[in.readInt()];
				in.readFully(frame);
				byte[] reply = reply(frame);
				for (int i = 0; i < 2; i++) {
					out.writeInt(reply.length);
					out.write(reply);
				}
				out.flush();
			}
		}
		catch (Exception ex) {
			// The client or the test has closed its socket.
		}
	}

	private byte[] reply(byte[] frame) throws Exception {
		TMessage call = ThriftBytes.protocol().getProtocol(new TMemoryInputTransport(frame)).readMessageBegin();
		TMemoryBuffer buffer = new TMemoryBuffer(256);
		TProtocol out = ThriftBytes.protocol().getProtocol(buffer);
		out.writeMessageBegin(new TMessage("readIndex", TMessageType.REPLY, call.seqid));
		new ControlService.readIndex_result(new ReadIndexReply(new Result(0, ""), this.calls.incrementAndGet()))
			.write(out);
		out.writeMessageEnd();
		return Arrays.copyOf(buffer.getArray(), buffer.length());
	}

	// Guards against a second reply to a call that is taken for the reply to the next
	// one.
	@Test
	void replyToAnEarlierCallFailsTheNextOne() throws Exception {
		String address = "127.0.0.1:" + this.server.getLocalPort();
		try (InternalConnection connection = InternalConnection.open(address, Duration.ofSeconds(20))) {
			assertThat(connection.control().readIndex("key").getIndex()).isEqualTo(1);
			Throwable failure = Try.of(() -> connection.control().readIndex("key")).getCause();
			assertThat(failure).isInstanceOf(TApplicationException.class);
			assertThat(((TApplicationException) failure).getType()).isEqualTo(TApplicationException.BAD_SEQUENCE_ID);
		}
	}

}
