import java.io.*;
import java.net.*;
import java.util.*;

/** A small site: the store and entries. Figures are those of the users' sheet of tengri-jaybeam. */
final class Site {
    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";
    final Store store = new Store();
    final List<EntryNode> entries = new ArrayList<>();
    long version = 7;
    String lastConfig;

    Site() throws IOException {}

    /** An entry and its addresses. */
    final class EntryNode {
        final String name;
        final String ip = Kit.loopbackAddress();
        final int front = Kit.freePort(ip), ready = Kit.freePort(ip), control = Kit.freePort(ip);
        Kit.Proc proc;

        EntryNode(String name) throws IOException {
            this.name = name;
        }

        void start(String seeds) throws Exception {
            proc = new Kit.Proc("entry", name, settings(name, "front", ip, seeds)
                + "listen.front=" + ip + ":" + front + "\nlisten.ready=" + ip + ":" + ready + "\nlisten.control=" + ip + ":" + control + "\n");
        }

        boolean isReady(int timeoutMillis) {
            try (Socket s = new Socket()) {
                s.connect(new InetSocketAddress(ip, ready), timeoutMillis);
                s.setSoTimeout(timeoutMillis);
                s.getOutputStream().write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
                Kit.Head head = Kit.readHead(s.getInputStream());
                return head != null && head.first.contains(" 200");
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() {
            long end = System.currentTimeMillis() + 20_000;
            while (System.currentTimeMillis() < end) {
                if (isReady(500)) {
                    Kit.log(name + " is ready");
                    return;
                }
                Kit.sleep(50);
            }
            throw new IllegalStateException(name + " does not become ready");
        }
    }

    void putConfig(String routes, String services) {
        version += 3;
        lastConfig = "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services + "],"
            + "\"limits\":{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000},"
            + "\"tenants\":[{\"name\":\"hule930\",\"keys\":[\"" + KEY + "\"],\"priority\":1}]}";
        store.put("keyed.op", "config", lastConfig);
    }

    static String route(String name, String prefix, String type, int timeoutMillis, int goalMillis, int attempts, String service, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + prefix + "\",\"type\":\"" + type + "\",\"timeoutMs\":" + timeoutMillis
            + ",\"goalMs\":" + goalMillis + ",\"priority\":1,\"service\":\"" + service + "\",\"attempts\":" + attempts + ",\"public\":false" + more + "}";
    }

    static String plainService(String name, int maxConnections) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConns\":" + maxConnections + ",\"proto\":\"h1\",\"tls\":false,\"coldS\":0.0,\"coldPerS\":0.0}";
    }

    void startEntries(int count) throws Exception {
        for (int i = 0; i < count; i++) entries.add(new EntryNode("front-almaty-a-" + (i + 1)));
        String seeds = entries.stream().limit(3).map(e -> e.ip + ":" + e.control).reduce((a, b) -> a + "," + b).orElse("");
        for (EntryNode e : entries) e.start(seeds);
        for (EntryNode e : entries) e.awaitReady();
    }

    String settings(String name, String machineClass, String ip, String seeds) {
        return "node=" + name + "\nrole=my-" + machineClass + "\nmachineClass=" + machineClass + "\nip=" + ip + "\nzone=almaty-a\nregion=almaty\n"
            + "zones.almaty-a=almaty\nzones.almaty-b=almaty\nzones.almaty-c=almaty\ninternalPorts=7340,7355\nseeds=" + seeds + "\nbootstrap=true\n"
            + "countsAsLoss=false\nlimits.cpuShare=0.57\nlimits.cores=1\nlimits.memoryMb=430\nlimits.maxFds=4200\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n"
            + "discovery=platform\nentry=vip\nheartbeatMs=1200\ncontracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,experts\n"
            + "bounds.stableWindowMs=3000\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.configMs=2000\nbounds.budgetRatio=0.2\n"
            + "bounds.budgetWindowS=10\nbounds.budgetSlack=90\nbounds.evacMs=5000\nbounds.requireFence=true\nplatform.addr=" + store.ip + ":" + store.port + "\n"
            + "platform.form=log\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.parts=8\nplatform.keep_s=300\nplatform.ttlMinMs=1000\n";
    }
}
