import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for the platform's store: the keyed topics of the operator and the replicas, and groups of members. It answers
 * every call; a case that needs a store that fails puts a proxy in front of it.
 */
final class Store {
    private record Entry(String key, byte[] value) {}

    private static final class Member {
        long expiresAtMillis;
    }

    private static final class Group {
        long generation;
        String owner;
        final TreeMap<String, Member> members = new TreeMap<>();
    }

    private final HttpServer server;
    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final Map<String, Group> groups = new HashMap<>();

    Store(String host) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, 0), 256);
        server.setExecutor(Executors.newCachedThreadPool(Kit::daemon));
        server.createContext("/", this::handle);
        server.start();
    }

    String address() {
        return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
    }

    /** Writes a record; a null value deletes the key. Returning is the confirmation. */
    synchronized void write(String topic, String key, String value) {
        byte[] bytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(new Entry(key, bytes));
        notifyAll();
    }

    void writeConfig(String json) {
        write("keyed.op", "config", json);
    }

    void writeReplica(String id, String json) {
        write("keyed.servers", id, json);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            Map<String, String> query = queryOf(exchange.getRequestURI().getQuery());
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            switch (exchange.getRequestURI().getPath()) {
                case "/v1/log-read" -> answer(exchange, read(query));
                case "/v1/log-newest" -> answer(exchange, newest(query.get("topic")));
                case "/v1/log-join" -> answer(exchange, join(body));
                case "/v1/log-owners" -> answer(exchange, owners(query.get("group")));
                default -> exchange.sendResponseHeaders(404, -1);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void answer(HttpExchange exchange, byte[] bytes) throws IOException {
        exchange.sendResponseHeaders(200, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
    }

    private synchronized byte[] read(Map<String, String> query) throws InterruptedException, IOException {
        int from = Integer.parseInt(query.get("from"));
        long deadline = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (entriesOf(query.get("topic")).size() <= from && System.currentTimeMillis() < deadline) {
            wait(Math.max(1, deadline - System.currentTimeMillis()));
        }
        List<Entry> entries = entriesOf(query.get("topic"));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeLong(entries.size());
        out.writeLong(0);
        for (Entry entry : entries.subList(Math.min(from, entries.size()), entries.size())) {
            byte[] key = entry.key.getBytes(StandardCharsets.UTF_8);
            out.writeInt(1 + key.length + entry.value.length);
            out.writeByte(key.length);
            out.write(key);
            out.write(entry.value);
        }
        return bytes.toByteArray();
    }

    private List<Entry> entriesOf(String topic) {
        return topics.getOrDefault(topic, List.of());
    }

    private synchronized byte[] newest(String topic) {
        Map<String, Integer> offsetByKey = new LinkedHashMap<>();
        List<Entry> entries = entriesOf(topic);
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get(i).value.length == 0) offsetByKey.remove(entries.get(i).key);
            else offsetByKey.put(entries.get(i).key, i);
        }
        List<String> items = new ArrayList<>();
        offsetByKey.forEach((key, offset) -> items.add("{\"key\":\"" + key + "\",\"value\":\""
            + Base64.getEncoder().encodeToString(entries.get(offset).value) + "\",\"offset\":" + offset + "}"));
        return utf8("{\"items\":[" + String.join(",", items) + "],\"hasMore\":false,\"end\":" + entries.size() + "}");
    }

    /** A member keeps its place as long as it joins within its lifetime; only a change of the members raises the generation. */
    private synchronized byte[] join(String body) {
        String member = textField(body, "member");
        Group group = groups.computeIfAbsent(textField(body, "group"), g -> new Group());
        long now = System.currentTimeMillis();
        expireMembers(group, now);
        if (!group.members.containsKey(member)) {
            group.members.put(member, new Member());
            group.generation++;
        }
        group.members.get(member).expiresAtMillis = now + numberField(body, "ttlMs");
        if (group.owner == null) group.owner = group.members.firstKey();
        String parts = member.equals(group.owner) ? "[[\"" + topicOf(body) + "\",0,0]]" : "[]";
        return utf8("{\"generation\":" + group.generation + ",\"ttlMs\":" + numberField(body, "ttlMs") + ",\"parts\":" + parts + "}");
    }

    /** Returns the generation of the group with this name. */
    synchronized long generation(String name) {
        return groups.computeIfAbsent(name, g -> new Group()).generation;
    }

    private static void expireMembers(Group group, long now) {
        if (!group.members.values().removeIf(m -> m.expiresAtMillis < now)) return;
        group.generation++;
        if (group.owner != null && !group.members.containsKey(group.owner)) group.owner = null;
    }

    private synchronized byte[] owners(String name) {
        Group group = groups.computeIfAbsent(name, g -> new Group());
        expireMembers(group, System.currentTimeMillis());
        String rows = group.owner == null ? "" : "[\"" + name + "\",0,\"" + group.owner + "\",0]";
        return utf8("{\"items\":[" + rows + "]}");
    }

    private static String topicOf(String body) {
        Matcher matcher = Pattern.compile("\"topics\":\\[\"([^\"]*)\"").matcher(body);
        return matcher.find() ? matcher.group(1) : "";
    }

    static String textField(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }

    static long numberField(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\":(-?\\d+)").matcher(json);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    private static Map<String, String> queryOf(String query) {
        Map<String, String> values = new HashMap<>();
        if (query == null) return values;
        for (String pair : query.split("&")) values.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
        return values;
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
