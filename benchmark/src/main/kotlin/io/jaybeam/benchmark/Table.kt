/*
 * Plain-text tables.
 */
package io.jaybeam.benchmark

/** Prints [title], then [header] and [rows] with aligned columns. */
internal fun printTable(title: String, header: List<String>, rows: List<List<String>>) {
    val widths = header.indices.map { column -> (rows + listOf(header)).maxOf { it[column].length } }
    println("\n$title")
    (listOf(header) + rows).forEach { row ->
        println(row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd())
    }
}

/** Returns [value] with [digits] digits after the decimal point. */
internal fun format(value: Double, digits: Int = 2): String = "%.${digits}f".format(value)
