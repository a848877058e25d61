import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases have in common: the site with its free ports, the processes of the project, and the record of the run. Exit
 * codes: 0 the rule held, 1 it was broken, 2 the case could not run.
 */
@SuppressWarnings("try")
final class Kit implements AutoCloseable {
    static final String HOST = "shop.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    /** A process of the project and how it was started. */
    static final class Node {
        final String name;
        final String role;
        final String ip;
        final Path settings;
        final InetSocketAddress front;
        final InetSocketAddress ready;
        Process process;

        Node(String name, String role, String ip, Path settings, InetSocketAddress front, InetSocketAddress ready) {
            this.name = name;
            this.role = role;
            this.ip = ip;
            this.settings = settings;
            this.front = front;
            this.ready = ready;
        }
    }

    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store;
    private final Path repository = Path.of("").toAbsolutePath();
    private final Path folder;
    private final Path temporary;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final List<Node> nodes = new ArrayList<>();
    private final int frontPort = freePort();
    private final int readyPort = freePort();
    private final int controlPort = freePort();
    private final int internalPort = freePort();
    private final int metricsPort = freePort();

    interface Case {
        /** Returns the number of violations. */
        int run(Kit kit) throws Exception;
    }

    static void main(String folder, Case aCase) {
        int code = 2;
        try (Kit kit = new Kit(Path.of(folder))) {
            kit.log("disruption: " + (kit.hasTrouble ? "yes" : "no"));
            try {
                int violations = aCase.run(kit);
                code = violations == 0 ? 0 : 1;
                kit.log(code == 0 ? "the rule held" : "the rule was broken");
            } catch (Throwable e) {
                kit.log("the case could not run: " + e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }

    private Kit(Path folder) throws IOException {
        this.folder = folder;
        temporary = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        store = new Store("127.0.0.1");
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    /** Milliseconds since the start of the case. */
    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void log(String line) {
        record.printf("%8.3f  %s%n", millis() / 1000.0, line);
        System.out.printf("%8.3f  %s%n", millis() / 1000.0, line);
    }

    /** Returns a front node on its own loopback address; it is not started yet. */
    Node front(int number) throws IOException {
        return node("front-a-" + number, "entry", "127.0.1." + number, "", number);
    }

    /** Returns a side node beside the replica at [app]; it is not started yet. */
    Node side(int number, InetSocketAddress app, String service) throws IOException {
        String lines = "app=" + app.getHostString() + ":" + app.getPort() + "\nservice=" + service + "\n";
        return node("side-a-" + number, "side", app.getHostString(), lines, number);
    }

    private Node node(String name, String role, String ip, String more, int number) throws IOException {
        boolean isFront = role.equals("entry");
        String text = "node=" + name + "\nrole=" + role + "\nmachineClass=" + (isFront ? "front" : "side") + "\nip=" + ip
            + "\nzone=a\nregion=r\nzones.a=r\ninternalPorts=" + internalPort + "," + (internalPort + 15)
            + "\nseeds=127.0.1.1:" + controlPort + ",127.0.1.2:" + controlPort + "\nbootstrap=true\ncountsAsLoss=false\n"
            + "limits.memoryMb=" + (isFront ? 430 : 298) + "\ndiscovery=platform\nentry=vip\nheartbeatMs=1200\n"
            + "bounds.stableWindowMs=3000\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configMs=2000\n"
            + "bounds.budgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.budgetSlack=94\nbounds.evacMs=5000\nbounds.recoverS=12\n"
            + "bounds.requireFence=true\nplatform.addr=" + store.address() + "\nplatform.form=log\n"
            + (isFront ? "listen.front=" + ip + ":" + frontPort + "\nlisten.ready=" + ip + ":" + readyPort + "\nlisten.control=" + ip + ":" + controlPort + "\n" : "")
            + more;
        Path settings = temporary.resolve(name + ".conf");
        Files.writeString(settings, text);
        Node node = new Node(name, role, ip, settings, new InetSocketAddress(ip, frontPort), new InetSocketAddress(ip, readyPort));
        nodes.add(node);
        return node;
    }

    /** Starts the node's process with the command of the deploy file. */
    void start(Node node) throws IOException {
        if (node.process != null) {
            Files.writeString(node.settings, Files.readString(node.settings).replace("bootstrap=true", "bootstrap=false"));
        }
        String deploy = Files.readString(repository.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + node.role + "]\\s+run = \"([^\"]*)\"").matcher(deploy);
        if (!run.find()) throw new IOException("no command for role " + node.role);
        ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.group(1).split(" "))).directory(repository.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("JAYBEAM_SETTINGS", node.settings.toString());
        environment.put("JAYBEAM_METRICS_PORT", "" + metricsPort);
        File output = folder.resolve("output-" + node.name + ".txt").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output));
        node.process = builder.start();
        log(node.name + " started as process " + node.process.pid());
    }

    boolean isReady(Node node) {
        try {
            HttpURLConnection connection =
                (HttpURLConnection) URI.create("http://" + node.ip + ":" + readyPort + "/v1/ready").toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(Node node) throws Exception {
        for (int i = 0; i < 200; i++) {
            if (isReady(node)) return;
            Thread.sleep(100);
        }
        throw new IOException(node.name + " is not ready after 20 s");
    }

    /** Sends SIGTERM, SIGKILL, SIGSTOP or SIGCONT to the node's process. */
    void signal(Node node, String signal) throws Exception {
        log("SIG" + signal + " to " + node.name);
        new ProcessBuilder("kill", "-" + signal, "" + node.process.pid()).start().waitFor();
    }

    private void killAll() {
        nodes.stream().filter(n -> n.process != null).forEach(n -> n.process.destroyForcibly());
    }

    @Override
    public void close() throws Exception {
        killAll();
        for (Node node : nodes) if (node.process != null) node.process.waitFor(5, TimeUnit.SECONDS);
        try (var files = Files.list(temporary)) {
            for (Path file : files.toList()) Files.delete(file);
        }
        Files.delete(temporary);
        record.close();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
