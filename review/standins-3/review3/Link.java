package review3;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A path to a port of another machine that can be cut; bytes that are under way are held up until it is mended. */
final class Link {
    final int port = Http.freePort();
    private final int target;
    volatile boolean isCut;

    Link(int target) throws IOException {
        this.target = target;
        ServerSocket listener = Http.listen(port);
        Http.thread(() -> {
            while (true) {
                try {
                    Socket from = listener.accept();
                    Http.thread(() -> connect(from));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private void connect(Socket from) {
        awaitMended();
        try {
            Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
            Http.thread(() -> copy(from, to));
            copy(to, from);
        } catch (IOException e) {
            close(from);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            for (int size = in.read(buffer); size >= 0; size = in.read(buffer)) {
                awaitMended();
                to.getOutputStream().write(buffer, 0, size);
            }
        } catch (IOException e) {
            // One of the two has closed the connection.
        }
        awaitMended();
        close(from);
        close(to);
    }

    private void awaitMended() {
        while (isCut) Recorder.sleep(5);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
