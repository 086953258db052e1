package org.acaciacourse.bench.process;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.acaciacourse.bench.check.Ran;
import org.acaciacourse.bench.check.Told;
import org.acaciacourse.testkit.FreePorts;
import org.acaciacourse.testkit.JavaProcess;
import org.acaciacourse.testkit.TcpProxy;
import org.acaciacourse.testkit.Waiting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for the harness itself: {@link TcpProxy}, {@link Caller} and {@link JavaProcess}
 * before a stand-in engine.
 */
class TcpProxyTests {

	private static final String LONG = "long [tokens=2000]";

	private final int port = FreePorts.next();

	private JavaProcess engine;

	private TcpProxy proxy;

	private Caller caller;

	private Path runLog;

	@BeforeEach
	void start(@TempDir Path folder) throws Exception {
		this.runLog = folder.resolve("runs");
		this.engine = JavaProcess.start(folder, "engine", "engine", "--port", Integer.toString(this.port), "--token-ms",
				"5", "--run-log", this.runLog.toString());
		Waiting.until("engine ready", () -> this.engine.output().contains("ready http://"));
		this.proxy = new TcpProxy(this.port);
		this.caller = new Caller();
	}

	@AfterEach
	void stop() throws Exception {
		this.caller.close();
		this.proxy.close();
		this.engine.close();
	}

	private CompletableFuture<Told> stream(String content) {
		return this.caller.chat("http://127.0.0.1:" + this.proxy.port(), content, true, Map.of());
	}

	private void awaitRun(String content) {
		Waiting.until(content + " runs",
				() -> Ran.read("e", this.runLog).stream().anyMatch((run) -> run.content().equals(content)));
	}

	@Nested
	class Faults {

		@Test
		void cutEndsTheCallWithoutAnEndOfItsAnswer() {
			CompletableFuture<Told> call = stream(LONG);
			awaitRun(LONG);
			TcpProxyTests.this.proxy.cut();
			assertThat(call.join().outcome()).isEqualTo(Told.Outcome.CUT);
		}

		@Test
		void silenceHoldsOpenConnectionsWhileNewOnesWork() {
			CompletableFuture<Told> silent = stream(LONG);
			awaitRun(LONG);
			assertThat(TcpProxyTests.this.proxy.silence()).isEqualTo(1);
			assertThat(stream("short one").join().text()).isEqualTo("short one");
			assertThat(silent.isDone()).isFalse();
		}

	}

	@Nested
	class Termination {

		@Test
		void engineFinishesItsStreamOnSigterm() {
			CompletableFuture<Told> call = stream("drained [tokens=100]");
			awaitRun("drained [tokens=100]");
			TcpProxyTests.this.engine.terminate();
			assertThat(call.join().outcome()).isEqualTo(Told.Outcome.ANSWERED);
			assertThat(TcpProxyTests.this.engine.awaitExit()).isEqualTo(0);
			assertThat(List.of(call.join().text().split(" "))).contains("drained");
		}

	}

}
