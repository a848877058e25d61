import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.regex.*;

/** Shared parts of the scripts: addresses, the record, processes of the project, and reading of HTTP messages. */
final class Kit {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final long START = System.nanoTime();
    static final Random RANDOM = new Random();
    static PrintWriter record;
    static final List<Proc> PROCS = new CopyOnWriteArrayList<>();
    static Path temp;

    private Kit() {}

    /** A case returns whether the rule held. */
    interface Case { boolean run() throws Exception; }

    /** Runs [body] and ends the process with 0, 1 or 2. */
    static void main(String recordPath, Case body) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordPath)), true);
        temp = Files.createTempDirectory("jaybeam-review-");
        int code = 2;
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            for (Proc p : PROCS) p.end();
            deleteTemp();
        }));
        try {
            log("trouble: " + (TROUBLE ? "yes" : "no"));
            code = body.run() ? 0 : 1;
        } catch (Throwable e) {
            StringWriter text = new StringWriter();
            e.printStackTrace(new PrintWriter(text));
            log("the case could not run: " + text);
        } finally {
            for (Proc p : PROCS) p.end();
            deleteTemp();
        }
        log("result: " + code + (code == 0 ? " (the rule held)" : code == 1 ? " (the rule was broken)" : " (could not run)"));
        record.close();
        Runtime.getRuntime().halt(code);
    }

    static void deleteTemp() {
        if (!Files.exists(temp)) return;
        try (var files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            log("temporary folder: " + e);
        }
    }

    static synchronized void log(String line) {
        String text = String.format(Locale.ROOT, "%8.3f %s", (System.nanoTime() - START) / 1e9, line);
        record.println(text);
        System.out.println(text);
    }

    /** An address of the loopback range that this run uses for one machine. */
    static String loopbackAddress() {
        return "127." + (10 + RANDOM.nextInt(200)) + "." + (1 + RANDOM.nextInt(250)) + "." + (2 + RANDOM.nextInt(250));
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket s = new ServerSocket()) {
            s.bind(new InetSocketAddress(ip, 0));
            return s.getLocalPort();
        }
    }

    static String id() {
        return String.format("%016x", RANDOM.nextLong());
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new RuntimeException(e);
        }
    }

    static Thread daemon(Runnable r) {
        Thread t = new Thread(r);
        t.setDaemon(true);
        t.start();
        return t;
    }

    static void close(Closeable c) {
        try {
            if (c != null) c.close();
        } catch (IOException e) {
            // It was closed already.
        }
    }

    /** Head of an HTTP message. */
    static final class Head {
        String first;
        final List<String[]> fields = new ArrayList<>();

        String get(String name) {
            for (String[] f : fields) if (f[0].equalsIgnoreCase(name)) return f[1];
            return null;
        }
    }

    /** Reads a head; null at the end of the connection. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Head head = new Head();
        head.first = line;
        while (true) {
            line = readLine(in);
            if (line == null) throw new EOFException("the connection ended in a head");
            if (line.isEmpty()) return head;
            int colon = line.indexOf(':');
            if (colon < 0) throw new IOException("no header: " + line);
            head.fields.add(new String[] {line.substring(0, colon).trim(), line.substring(colon + 1).trim()});
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (bytes.size() == 0) return null;
                throw new EOFException("the connection ended in a line");
            }
            if (b == '\n') {
                String s = bytes.toString(StandardCharsets.ISO_8859_1);
                return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
            }
            bytes.write(b);
        }
    }

    static byte[] readFully(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException("the connection ended after " + bytes.length + " of " + count + " bytes");
        return bytes;
    }

    /** Reads a body in chunks, up to and including the last one. */
    static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) throw new EOFException("the connection ended between chunks");
            int count = Integer.parseInt(size.split(";")[0].trim(), 16);
            if (count == 0) {
                while (true) {
                    String line = readLine(in);
                    if (line == null) throw new EOFException("the connection ended in the last chunk");
                    if (line.isEmpty()) return body.toByteArray();
                }
            }
            body.write(readFully(in, count));
            readLine(in);
        }
    }

    /** A process of the project, started with the command of a role in the deploy file. */
    static final class Proc {
        final String name;
        final Process process;
        final Path output;

        Proc(String role, String name, String settings) throws IOException {
            this.name = name;
            Path settingsFile = temp.resolve(name + ".conf");
            Files.writeString(settingsFile, settings);
            output = temp.resolve(name + ".log");
            ProcessBuilder builder = new ProcessBuilder(command(role));
            Map<String, String> env = builder.environment();
            env.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            env.put("JAYBEAM_SETTINGS", settingsFile.toString());
            env.putAll(roleEnvironment(role));
            builder.redirectErrorStream(true).redirectOutput(output.toFile());
            process = builder.start();
            PROCS.add(this);
            log("started " + name + " (pid " + process.pid() + ")");
        }

        void signal(String signal) throws Exception {
            log("signal " + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
        }

        void end() {
            if (!process.isAlive()) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new RuntimeException(e);
            }
        }

        /** Lines of the log that contain [text]. */
        List<String> logLines(String text) throws IOException {
            List<String> lines = new ArrayList<>();
            for (String line : new String(Files.readAllBytes(output), StandardCharsets.UTF_8).split("\n")) {
                if (line.contains(text)) lines.add(line);
            }
            return lines;
        }
    }

    static String roleSection(String role) throws IOException {
        String text = Files.readString(Path.of("deploy/system.toml"));
        Matcher m = Pattern.compile("\\[roles\\." + role + "\\]\\n(.*?)(?=\\n\\[|\\z)", Pattern.DOTALL).matcher(text);
        if (!m.find()) throw new IOException("the deploy file has no role " + role);
        return m.group(1);
    }

    static List<String> command(String role) throws IOException {
        Matcher m = Pattern.compile("(?m)^run\\s*=\\s*\"(.*)\"").matcher(roleSection(role));
        if (!m.find()) throw new IOException("role " + role + " has no command");
        return Arrays.asList(m.group(1).split(" +"));
    }

    static Map<String, String> roleEnvironment(String role) throws IOException {
        Map<String, String> env = new HashMap<>();
        Matcher table = Pattern.compile("(?m)^env\\s*=\\s*\\{(.*)\\}").matcher(roleSection(role));
        if (!table.find()) return env;
        Matcher m = Pattern.compile("(\\w+)\\s*=\\s*\"([^\"]*)\"").matcher(table.group(1));
        while (m.find()) env.put(m.group(1), m.group(2));
        return env;
    }
}
