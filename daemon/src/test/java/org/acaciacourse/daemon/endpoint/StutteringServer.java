package org.acaciacourse.daemon.endpoint;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Function;

/**
 * A server on plain sockets that sends each response a second time over its connection.
 * <p>
 * Thread safe; each connection has its own thread.
 */
public final class StutteringServer implements AutoCloseable {

	private final ServerSocket server;

	private final Position position;

	private final Function<Request, String> responses;

	private final List<Request> requests = new CopyOnWriteArrayList<>();

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	/**
	 * Start a server.
	 * @param position where each second response stands
	 * @param responses returns the whole response to a request
	 * @throws IOException if no port can be opened
	 */
	public StutteringServer(Position position, Function<Request, String> responses) throws IOException {
		this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		this.position = position;
		this.responses = responses;
		start(this::accept);
	}

	/**
	 * Return where the server listens.
	 * @return IP number and port
	 */
	public String address() {
		return "127.0.0.1:" + this.server.getLocalPort();
	}

	/**
	 * Return what was requested so far.
	 * @return the requests over all connections, in the order of their arrival
	 */
	public List<Request> requests() {
		return this.requests;
	}

	private static void start(Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (IOException ex) {
				// The client or the test has closed the socket.
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() throws IOException {
		while (true) {
			Socket socket = this.server.accept();
			socket.setTcpNoDelay(true);
			this.sockets.add(socket);
			int number = this.sockets.size();
			start(() -> serve(socket, number));
		}
	}

	private void serve(Socket socket, int connection) throws IOException {
		try (socket) {
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
			String late = "";
			for (String line = in.readLine(); line != null; line = in.readLine()) {
				Request request = request(line, in, connection);
				this.requests.add(request);
				String response = this.responses.apply(request);
				this.position.write(socket.getOutputStream(), late, response);
				late = this.position.late(response);
			}
		}
	}

	private static Request request(String line, BufferedReader in, int connection) throws IOException {
		String id = "";
		int length = 0;
		for (String header = in.readLine(); !header.isEmpty(); header = in.readLine()) {
			String[] parts = header.split(": ?", 2);
			id = (parts[0].equalsIgnoreCase("x-request-id")) ? parts[1] : id;
			length = (parts[0].equalsIgnoreCase("content-length")) ? Integer.parseInt(parts[1]) : length;
		}
		for (int i = 0; i < length; i++) {
			in.read();
		}
		return new Request(line.split(" ")[1], id, connection);
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	/**
	 * Return a whole response.
	 * @param status the HTTP status
	 * @param id the id that it bears, empty for none
	 * @param body the body, of one byte a character
	 * @return the response
	 */
	public static String response(int status, String id, String body) {
		String idHeader = (id.isEmpty()) ? "" : "X-Request-Id: " + id + "\r\n";
		return "HTTP/1.1 " + status + " Status\r\n" + idHeader + "Content-Length: " + body.length() + "\r\n\r\n" + body;
	}

	/** Where the second response to a request stands. */
	public enum Position {

		/** In the same write as the first one. */
		BEHIND_THE_FIRST {

			@Override
			void write(OutputStream out, String late, String response) throws IOException {
				send(out, response + response);
			}

		},

		/** In a write of its own after the first one. */
		IDLE_CONNECTION {

			@Override
			void write(OutputStream out, String late, String response) throws IOException {
				send(out, response);
				send(out, response);
			}

		},

		/** Where the response to the next request is due. */
		BEFORE_THE_NEXT {

			@Override
			void write(OutputStream out, String late, String response) throws IOException {
				send(out, late + response);
			}

			@Override
			String late(String response) {
				return response;
			}

		},

		/** Its first part behind the first one, the rest with the next response. */
		IN_TWO_PIECES {

			@Override
			void write(OutputStream out, String late, String response) throws IOException {
				send(out, late);
				send(out, response + response.substring(0, response.length() - 1));
			}

			@Override
			String late(String response) {
				return response.substring(response.length() - 1);
			}

		};

		abstract void write(OutputStream out, String late, String response) throws IOException;

		/**
		 * Return what is still to be sent of a response's second copy.
		 * @param response the response
		 * @return the part that comes with the next response
		 */
		String late(String response) {
			return "";
		}

		private static void send(OutputStream out, String text) throws IOException {
			out.write(text.getBytes(StandardCharsets.US_ASCII));
			out.flush();
		}

	}

	/**
	 * A request.
	 *
	 * @param path its path with the query
	 * @param id the id that it bears, empty for none
	 * @param connection the number of its connection, from 1
	 */
	public record Request(String path, String id, int connection) {
	}

	@FunctionalInterface
	private interface Task {

		void run() throws IOException;

	}

}
