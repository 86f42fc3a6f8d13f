package milletyoke.gateway.console;

/**
 * Selects the rows of a page.
 *
 * @param find text that a row's name must contain; empty selects all rows
 * @param page number of the part of a long table, from 0
 */
record PageQuery(String find, int page) {
    static final PageQuery FIRST = new PageQuery("", 0);
}
