import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A consumer's channel to an entry router. */
final class Consumer implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;

    Consumer(InetSocketAddress router) throws IOException {
        socket.connect(router, 1000);
        socket.setSoTimeout(20_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String text) throws IOException {
        send(text.getBytes(StandardCharsets.UTF_8));
    }

    void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    static String head(String method, String path, String id, long deadline, long length, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: "
            + deadline + "\r\nApi-Key: " + Bed.KEY + "\r\n" + more
            + (length < 0 ? "" : "Content-Length: " + length + "\r\n") + "\r\n";
    }

    Http.Answer get(String path, String id) throws IOException {
        send(head("GET", path, id, 4000, -1, ""));
        return Http.answer(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
