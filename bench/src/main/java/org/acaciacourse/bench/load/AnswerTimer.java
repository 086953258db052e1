package org.acaciacourse.bench.load;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaders;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;

/**
 * Times one answer.
 * <p>
 * Not thread safe: the HTTP client calls it on one thread at a time.
 */
final class AnswerTimer implements AsyncHandler<Void> {

	private static final Pattern CODE = Pattern.compile("\"code\"\\s*:\\s*([0-9]+)");

	private static final Pattern PLAIN_TOKENS = Pattern.compile("\"completion_tokens\"\\s*:\\s*([0-9]+)");

	private final StreamScanner scanner = new StreamScanner();

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final TargetResults results;

	private final boolean streamed;

	private final long intended;

	private final Runnable done;

	private int status;

	private long lastToken;

	AnswerTimer(TargetResults results, boolean streamed, long intended, Runnable done) {
		this.results = results;
		this.streamed = streamed;
		this.intended = intended;
		this.done = done;
	}

	@Override
	public State onStatusReceived(HttpResponseStatus responseStatus) {
		this.status = responseStatus.getStatusCode();
		return State.CONTINUE;
	}

	@Override
	public State onHeadersReceived(HttpHeaders headers) {
		return State.CONTINUE;
	}

	@Override
	public State onBodyPartReceived(HttpResponseBodyPart part) {
		byte[] bytes = part.getBodyPartBytes();
		if (!this.streamed || this.status != 200) {
			this.body.writeBytes(bytes);
			return State.CONTINUE;
		}
		int tokens = this.scanner.scan(bytes);
		if (tokens > 0) {
			tokens(tokens, System.nanoTime());
		}
		return State.CONTINUE;
	}

	@Override
	public Void onCompleted() {
		long now = System.nanoTime();
		if (this.status != 200) {
			this.results.error(find(CODE, Integer.toString(this.status)));
		}
		else if (this.streamed && !this.scanner.hasEnded()) {
			this.results.cut();
		}
		else {
			this.results.whole(now - this.intended);
			this.results.tokens((this.streamed) ? 0 : Integer.parseInt(find(PLAIN_TOKENS, "0")));
		}
		this.done.run();
		return null;
	}

	@Override
	public void onThrowable(Throwable failure) {
		this.results.error(failure.getClass().getSimpleName());
		this.done.run();
	}

	private void tokens(int count, long now) {
		this.results.tokens(count);
		if (this.lastToken == 0) {
			this.results.firstToken(now - this.intended);
		}
		else {
			this.results.gap(now - this.lastToken);
		}
		for (int i = 1; i < count; i++) {
			this.results.gap(0);
		}
		this.lastToken = now;
	}

	private String find(Pattern pattern, String otherwise) {
		Matcher matcher = pattern.matcher(this.body.toString(StandardCharsets.UTF_8));
		return (matcher.find()) ? matcher.group(1) : otherwise;
	}

}
