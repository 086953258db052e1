package org.acaciacourse.engine;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The loopback ports of the embedded default. They are kept in the data folder, since the
 * replicas know one another by address and the manifest names the engines' addresses: a
 * restart with other ports would find no quorum.
 * <p>
 * Immutable and thread safe.
 *
 * @param controls the ports of the control replicas
 * @param engines the ports of the engines
 * @param service the port of the plain service
 */
record LocalPorts(List<Integer> controls, List<Integer> engines, int service) {

	private static final int CONTROLS = 3;

	private static final int ENGINES = 3;

	private static final String FILE = "ports";

	/**
	 * Read the ports of a data folder, or choose free ones and keep them.
	 * @param folder the data folder
	 * @return the ports
	 * @throws IOException if the folder cannot be used
	 */
	static LocalPorts of(Path folder) throws IOException {
		Files.createDirectories(folder);
		Path file = folder.resolve(FILE);
		if (!Files.exists(file)) {
			Files.write(file, free(CONTROLS + ENGINES + 1).stream().map(String::valueOf).toList());
		}
		List<Integer> ports = Files.readAllLines(file).stream().map(Integer::valueOf).toList();
		return new LocalPorts(ports.subList(0, CONTROLS), ports.subList(CONTROLS, CONTROLS + ENGINES),
				ports.get(CONTROLS + ENGINES));
	}

	private static List<Integer> free(int count) throws IOException {
		List<ServerSocket> sockets = new ArrayList<>();
		try {
			for (int i = 0; i < count; i++) {
				sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
			}
			return sockets.stream().map(ServerSocket::getLocalPort).toList();
		}
		finally {
			for (ServerSocket socket : sockets) {
				socket.close();
			}
		}
	}

}
