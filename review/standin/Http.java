import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** The parts of HTTP that the stand-ins need. */
final class Http {
    private Http() {}

    /** Reads a head up to its empty line; null if the connection ends before. */
    static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) return null;
            head.append((char) b);
        }
        return head.toString();
    }

    static String field(String head, String name) {
        return head.lines().skip(1).filter(l -> l.regionMatches(true, 0, name + ":", 0, name.length() + 1))
            .map(l -> l.substring(name.length() + 1).trim()).findFirst().orElse(null);
    }

    /** An answer as a consumer reads it; {@code complete} tells whether its body ended as HTTP requires. */
    record Answer(int status, String head, byte[] body, boolean complete) {
        String field(String name) {
            return Http.field(head, name);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String shown() {
            return status + ", Attempt-Id " + field("Attempt-Id") + ", Response-Seal " + field("Response-Seal") + ", "
                + body.length + " bytes of body, " + (complete ? "complete" : "broken off");
        }
    }

    /** Reads one answer; null if the connection ends before its head is complete. */
    static Answer answer(InputStream in) throws IOException {
        String head;
        try {
            head = head(in);
        } catch (java.net.SocketException e) {
            head = null;
        }
        if (head == null) return null;
        int status = Integer.parseInt(head.split(" ")[1]);
        var body = new java.io.ByteArrayOutputStream();
        String length = field(head, "Content-Length");
        if (length != null) {
            body.write(in.readNBytes(Integer.parseInt(length)));
            return new Answer(status, head, body.toByteArray(), body.size() == Integer.parseInt(length));
        }
        try {
            while (true) {
                StringBuilder line = new StringBuilder();
                while (line.length() < 2 || !line.substring(line.length() - 2).equals("\r\n")) {
                    int b = in.read();
                    if (b < 0) return new Answer(status, head, body.toByteArray(), false);
                    line.append((char) b);
                }
                int size = Integer.parseInt(line.toString().trim(), 16);
                byte[] chunk = in.readNBytes(size);
                body.write(chunk);
                if (chunk.length < size) return new Answer(status, head, body.toByteArray(), false);
                in.readNBytes(2);
                if (size == 0) return new Answer(status, head, body.toByteArray(), true);
            }
        } catch (java.net.SocketException e) {
            return new Answer(status, head, body.toByteArray(), false);
        }
    }
}
