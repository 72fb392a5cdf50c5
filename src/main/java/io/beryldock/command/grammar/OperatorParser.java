// Generated from src/main/antlr/Operator.g4 by ANTLR 4.13.2
package io.beryldock.command.grammar;
import org.antlr.v4.runtime.atn.*;
import org.antlr.v4.runtime.dfa.DFA;
import org.antlr.v4.runtime.*;
import org.antlr.v4.runtime.misc.*;
import org.antlr.v4.runtime.tree.*;
import java.util.List;
import java.util.Iterator;
import java.util.ArrayList;

@SuppressWarnings({"all", "warnings", "unchecked", "unused", "cast", "CheckReturnValue", "this-escape"})
public class OperatorParser extends Parser {
	static { RuntimeMetaData.checkVersion("4.13.2", RuntimeMetaData.VERSION); }

	protected static final DFA[] _decisionToDFA;
	protected static final PredictionContextCache _sharedContextCache =
		new PredictionContextCache();
	public static final int
		BASED=1, BUDGET=2, BY=3, CALLER=4, CHANGES=5, CLASS=6, CONFIGURATION=7, 
		CONNECTIONS=8, DEADLINE=9, DRAIN=10, EVERYWHERE=11, EXPLAIN=12, IDEMPOTENT=13, 
		LAST=14, LEVELS=15, LIMIT=16, MARK=17, METHODS=18, NODE=19, NODES=20, 
		NON_IDEMPOTENT=21, ON=22, PRIORITY=23, QUARANTINE=24, REMOVE=25, REQUEST=26, 
		RESTORE=27, RETRIES=28, ROUTE=29, SERVICE=30, SET=31, SHARE=32, SHED=33, 
		SHOW=34, SLOTS=35, TARGET=36, TARGETS=37, TICKETS=38, TIMELINE=39, UNDRAIN=40, 
		VERSION=41, WATCH=42, WHY=43, NUMBER=44, DURATION=45, DECIMAL=46, PERCENT=47, 
		WORD=48, PATH=49, COMMA=50, SPACE=51, OTHER=52;
	public static final int
		RULE_statement = 0, RULE_command = 1, RULE_explain = 2, RULE_watch = 3, 
		RULE_show = 4, RULE_shedOption = 5, RULE_grouping = 6, RULE_timelineOption = 7, 
		RULE_targetOption = 8, RULE_serviceTopic = 9, RULE_serviceOption = 10, 
		RULE_nodeTopic = 11, RULE_nodeOption = 12, RULE_documentTopic = 13, RULE_everywhere = 14, 
		RULE_why = 15, RULE_change = 16, RULE_basedOn = 17, RULE_set = 18, RULE_setClass = 19, 
		RULE_setBudget = 20, RULE_budgetOption = 21, RULE_setLimit = 22, RULE_setRoute = 23, 
		RULE_routeMethods = 24, RULE_routeTarget = 25, RULE_routeOption = 26, 
		RULE_remove = 27, RULE_mark = 28, RULE_restore = 29, RULE_drain = 30, 
		RULE_undrain = 31, RULE_className = 32, RULE_budgetName = 33, RULE_serviceName = 34, 
		RULE_nodeId = 35, RULE_method = 36, RULE_requestId = 37, RULE_prefix = 38, 
		RULE_duration = 39, RULE_share = 40, RULE_priority = 41, RULE_retries = 42, 
		RULE_slots = 43, RULE_version = 44, RULE_name = 45, RULE_keyword = 46;
	private static String[] makeRuleNames() {
		return new String[] {
			"statement", "command", "explain", "watch", "show", "shedOption", "grouping", 
			"timelineOption", "targetOption", "serviceTopic", "serviceOption", "nodeTopic", 
			"nodeOption", "documentTopic", "everywhere", "why", "change", "basedOn", 
			"set", "setClass", "setBudget", "budgetOption", "setLimit", "setRoute", 
			"routeMethods", "routeTarget", "routeOption", "remove", "mark", "restore", 
			"drain", "undrain", "className", "budgetName", "serviceName", "nodeId", 
			"method", "requestId", "prefix", "duration", "share", "priority", "retries", 
			"slots", "version", "name", "keyword"
		};
	}
	public static final String[] ruleNames = makeRuleNames();

	private static String[] makeLiteralNames() {
		return new String[] {
			null, "'based'", "'budget'", "'by'", "'caller'", "'changes'", "'class'", 
			"'configuration'", "'connections'", "'deadline'", "'drain'", "'everywhere'", 
			"'explain'", "'idempotent'", "'last'", "'levels'", "'limit'", "'mark'", 
			"'methods'", "'node'", "'nodes'", "'non-idempotent'", "'on'", "'priority'", 
			"'quarantine'", "'remove'", "'request'", "'restore'", "'retries'", "'route'", 
			"'service'", "'set'", "'share'", "'shed'", "'show'", "'slots'", "'target'", 
			"'targets'", "'tickets'", "'timeline'", "'undrain'", "'version'", "'watch'", 
			"'why'", null, null, null, null, null, null, "','"
		};
	}
	private static final String[] _LITERAL_NAMES = makeLiteralNames();
	private static String[] makeSymbolicNames() {
		return new String[] {
			null, "BASED", "BUDGET", "BY", "CALLER", "CHANGES", "CLASS", "CONFIGURATION", 
			"CONNECTIONS", "DEADLINE", "DRAIN", "EVERYWHERE", "EXPLAIN", "IDEMPOTENT", 
			"LAST", "LEVELS", "LIMIT", "MARK", "METHODS", "NODE", "NODES", "NON_IDEMPOTENT", 
			"ON", "PRIORITY", "QUARANTINE", "REMOVE", "REQUEST", "RESTORE", "RETRIES", 
			"ROUTE", "SERVICE", "SET", "SHARE", "SHED", "SHOW", "SLOTS", "TARGET", 
			"TARGETS", "TICKETS", "TIMELINE", "UNDRAIN", "VERSION", "WATCH", "WHY", 
			"NUMBER", "DURATION", "DECIMAL", "PERCENT", "WORD", "PATH", "COMMA", 
			"SPACE", "OTHER"
		};
	}
	private static final String[] _SYMBOLIC_NAMES = makeSymbolicNames();
	public static final Vocabulary VOCABULARY = new VocabularyImpl(_LITERAL_NAMES, _SYMBOLIC_NAMES);

	/**
	 * @deprecated Use {@link #VOCABULARY} instead.
	 */
	@Deprecated
	public static final String[] tokenNames;
	static {
		tokenNames = new String[_SYMBOLIC_NAMES.length];
		for (int i = 0; i < tokenNames.length; i++) {
			tokenNames[i] = VOCABULARY.getLiteralName(i);
			if (tokenNames[i] == null) {
				tokenNames[i] = VOCABULARY.getSymbolicName(i);
			}

			if (tokenNames[i] == null) {
				tokenNames[i] = "<INVALID>";
			}
		}
	}

	@Override
	@Deprecated
	public String[] getTokenNames() {
		return tokenNames;
	}

	@Override

	public Vocabulary getVocabulary() {
		return VOCABULARY;
	}

	@Override
	public String getGrammarFileName() { return "Operator.g4"; }

	@Override
	public String[] getRuleNames() { return ruleNames; }

	@Override
	public String getSerializedATN() { return _serializedATN; }

	@Override
	public ATN getATN() { return _ATN; }

	public OperatorParser(TokenStream input) {
		super(input);
		_interp = new ParserATNSimulator(this,_ATN,_decisionToDFA,_sharedContextCache);
	}

	@SuppressWarnings("CheckReturnValue")
	public static class StatementContext extends ParserRuleContext {
		public CommandContext command() {
			return getRuleContext(CommandContext.class,0);
		}
		public TerminalNode EOF() { return getToken(OperatorParser.EOF, 0); }
		public StatementContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_statement; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitStatement(this);
			else return visitor.visitChildren(this);
		}
	}

	public final StatementContext statement() throws RecognitionException {
		StatementContext _localctx = new StatementContext(_ctx, getState());
		enterRule(_localctx, 0, RULE_statement);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(94);
			command();
			setState(95);
			match(EOF);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class CommandContext extends ParserRuleContext {
		public ShowContext show() {
			return getRuleContext(ShowContext.class,0);
		}
		public WhyContext why() {
			return getRuleContext(WhyContext.class,0);
		}
		public ChangeContext change() {
			return getRuleContext(ChangeContext.class,0);
		}
		public ExplainContext explain() {
			return getRuleContext(ExplainContext.class,0);
		}
		public WatchContext watch() {
			return getRuleContext(WatchContext.class,0);
		}
		public CommandContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_command; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitCommand(this);
			else return visitor.visitChildren(this);
		}
	}

	public final CommandContext command() throws RecognitionException {
		CommandContext _localctx = new CommandContext(_ctx, getState());
		enterRule(_localctx, 2, RULE_command);
		try {
			setState(102);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case SHOW:
				enterOuterAlt(_localctx, 1);
				{
				setState(97);
				show();
				}
				break;
			case WHY:
				enterOuterAlt(_localctx, 2);
				{
				setState(98);
				why();
				}
				break;
			case DRAIN:
			case MARK:
			case REMOVE:
			case RESTORE:
			case SET:
			case UNDRAIN:
				enterOuterAlt(_localctx, 3);
				{
				setState(99);
				change();
				}
				break;
			case EXPLAIN:
				enterOuterAlt(_localctx, 4);
				{
				setState(100);
				explain();
				}
				break;
			case WATCH:
				enterOuterAlt(_localctx, 5);
				{
				setState(101);
				watch();
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ExplainContext extends ParserRuleContext {
		public TerminalNode EXPLAIN() { return getToken(OperatorParser.EXPLAIN, 0); }
		public ChangeContext change() {
			return getRuleContext(ChangeContext.class,0);
		}
		public ExplainContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_explain; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitExplain(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ExplainContext explain() throws RecognitionException {
		ExplainContext _localctx = new ExplainContext(_ctx, getState());
		enterRule(_localctx, 4, RULE_explain);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(104);
			match(EXPLAIN);
			setState(105);
			change();
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class WatchContext extends ParserRuleContext {
		public TerminalNode WATCH() { return getToken(OperatorParser.WATCH, 0); }
		public ShowContext show() {
			return getRuleContext(ShowContext.class,0);
		}
		public WatchContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_watch; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitWatch(this);
			else return visitor.visitChildren(this);
		}
	}

	public final WatchContext watch() throws RecognitionException {
		WatchContext _localctx = new WatchContext(_ctx, getState());
		enterRule(_localctx, 6, RULE_watch);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(107);
			match(WATCH);
			setState(108);
			show();
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ShowContext extends ParserRuleContext {
		public TerminalNode SHOW() { return getToken(OperatorParser.SHOW, 0); }
		public TerminalNode SHED() { return getToken(OperatorParser.SHED, 0); }
		public TerminalNode TIMELINE() { return getToken(OperatorParser.TIMELINE, 0); }
		public TerminalNode TARGETS() { return getToken(OperatorParser.TARGETS, 0); }
		public ServiceTopicContext serviceTopic() {
			return getRuleContext(ServiceTopicContext.class,0);
		}
		public NodeTopicContext nodeTopic() {
			return getRuleContext(NodeTopicContext.class,0);
		}
		public DocumentTopicContext documentTopic() {
			return getRuleContext(DocumentTopicContext.class,0);
		}
		public List<ShedOptionContext> shedOption() {
			return getRuleContexts(ShedOptionContext.class);
		}
		public ShedOptionContext shedOption(int i) {
			return getRuleContext(ShedOptionContext.class,i);
		}
		public List<TimelineOptionContext> timelineOption() {
			return getRuleContexts(TimelineOptionContext.class);
		}
		public TimelineOptionContext timelineOption(int i) {
			return getRuleContext(TimelineOptionContext.class,i);
		}
		public List<TargetOptionContext> targetOption() {
			return getRuleContexts(TargetOptionContext.class);
		}
		public TargetOptionContext targetOption(int i) {
			return getRuleContext(TargetOptionContext.class,i);
		}
		public List<ServiceOptionContext> serviceOption() {
			return getRuleContexts(ServiceOptionContext.class);
		}
		public ServiceOptionContext serviceOption(int i) {
			return getRuleContext(ServiceOptionContext.class,i);
		}
		public List<NodeOptionContext> nodeOption() {
			return getRuleContexts(NodeOptionContext.class);
		}
		public NodeOptionContext nodeOption(int i) {
			return getRuleContext(NodeOptionContext.class,i);
		}
		public EverywhereContext everywhere() {
			return getRuleContext(EverywhereContext.class,0);
		}
		public ShowContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_show; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitShow(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ShowContext show() throws RecognitionException {
		ShowContext _localctx = new ShowContext(_ctx, getState());
		enterRule(_localctx, 8, RULE_show);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(110);
			match(SHOW);
			setState(150);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case SHED:
				{
				setState(111);
				match(SHED);
				setState(115);
				_errHandler.sync(this);
				_la = _input.LA(1);
				while ((((_la) & ~0x3f) == 0 && ((1L << _la) & 1073760264L) != 0)) {
					{
					{
					setState(112);
					shedOption();
					}
					}
					setState(117);
					_errHandler.sync(this);
					_la = _input.LA(1);
				}
				}
				break;
			case TIMELINE:
				{
				setState(118);
				match(TIMELINE);
				setState(122);
				_errHandler.sync(this);
				_la = _input.LA(1);
				while ((((_la) & ~0x3f) == 0 && ((1L << _la) & 67651584L) != 0)) {
					{
					{
					setState(119);
					timelineOption();
					}
					}
					setState(124);
					_errHandler.sync(this);
					_la = _input.LA(1);
				}
				}
				break;
			case TARGETS:
				{
				setState(125);
				match(TARGETS);
				setState(129);
				_errHandler.sync(this);
				_la = _input.LA(1);
				while ((((_la) & ~0x3f) == 0 && ((1L << _la) & 1074268160L) != 0)) {
					{
					{
					setState(126);
					targetOption();
					}
					}
					setState(131);
					_errHandler.sync(this);
					_la = _input.LA(1);
				}
				}
				break;
			case LEVELS:
			case QUARANTINE:
			case RETRIES:
				{
				setState(132);
				serviceTopic();
				setState(136);
				_errHandler.sync(this);
				_la = _input.LA(1);
				while (_la==EVERYWHERE || _la==SERVICE) {
					{
					{
					setState(133);
					serviceOption();
					}
					}
					setState(138);
					_errHandler.sync(this);
					_la = _input.LA(1);
				}
				}
				break;
			case CONNECTIONS:
			case NODES:
			case TICKETS:
				{
				setState(139);
				nodeTopic();
				setState(143);
				_errHandler.sync(this);
				_la = _input.LA(1);
				while (_la==EVERYWHERE || _la==NODE) {
					{
					{
					setState(140);
					nodeOption();
					}
					}
					setState(145);
					_errHandler.sync(this);
					_la = _input.LA(1);
				}
				}
				break;
			case CHANGES:
			case CONFIGURATION:
				{
				setState(146);
				documentTopic();
				setState(148);
				_errHandler.sync(this);
				_la = _input.LA(1);
				if (_la==EVERYWHERE) {
					{
					setState(147);
					everywhere();
					}
				}

				}
				break;
			default:
				throw new NoViableAltException(this);
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ShedOptionContext extends ParserRuleContext {
		public TerminalNode BY() { return getToken(OperatorParser.BY, 0); }
		public GroupingContext grouping() {
			return getRuleContext(GroupingContext.class,0);
		}
		public TerminalNode LAST() { return getToken(OperatorParser.LAST, 0); }
		public DurationContext duration() {
			return getRuleContext(DurationContext.class,0);
		}
		public TerminalNode SERVICE() { return getToken(OperatorParser.SERVICE, 0); }
		public ServiceNameContext serviceName() {
			return getRuleContext(ServiceNameContext.class,0);
		}
		public EverywhereContext everywhere() {
			return getRuleContext(EverywhereContext.class,0);
		}
		public ShedOptionContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_shedOption; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitShedOption(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ShedOptionContext shedOption() throws RecognitionException {
		ShedOptionContext _localctx = new ShedOptionContext(_ctx, getState());
		enterRule(_localctx, 10, RULE_shedOption);
		try {
			setState(159);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case BY:
				enterOuterAlt(_localctx, 1);
				{
				setState(152);
				match(BY);
				setState(153);
				grouping();
				}
				break;
			case LAST:
				enterOuterAlt(_localctx, 2);
				{
				setState(154);
				match(LAST);
				setState(155);
				duration();
				}
				break;
			case SERVICE:
				enterOuterAlt(_localctx, 3);
				{
				setState(156);
				match(SERVICE);
				setState(157);
				serviceName();
				}
				break;
			case EVERYWHERE:
				enterOuterAlt(_localctx, 4);
				{
				setState(158);
				everywhere();
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class GroupingContext extends ParserRuleContext {
		public TerminalNode CLASS() { return getToken(OperatorParser.CLASS, 0); }
		public TerminalNode SERVICE() { return getToken(OperatorParser.SERVICE, 0); }
		public TerminalNode CALLER() { return getToken(OperatorParser.CALLER, 0); }
		public GroupingContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_grouping; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitGrouping(this);
			else return visitor.visitChildren(this);
		}
	}

	public final GroupingContext grouping() throws RecognitionException {
		GroupingContext _localctx = new GroupingContext(_ctx, getState());
		enterRule(_localctx, 12, RULE_grouping);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(161);
			_la = _input.LA(1);
			if ( !((((_la) & ~0x3f) == 0 && ((1L << _la) & 1073741904L) != 0)) ) {
			_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class TimelineOptionContext extends ParserRuleContext {
		public TerminalNode LAST() { return getToken(OperatorParser.LAST, 0); }
		public DurationContext duration() {
			return getRuleContext(DurationContext.class,0);
		}
		public TerminalNode REQUEST() { return getToken(OperatorParser.REQUEST, 0); }
		public RequestIdContext requestId() {
			return getRuleContext(RequestIdContext.class,0);
		}
		public TerminalNode NODE() { return getToken(OperatorParser.NODE, 0); }
		public NodeIdContext nodeId() {
			return getRuleContext(NodeIdContext.class,0);
		}
		public EverywhereContext everywhere() {
			return getRuleContext(EverywhereContext.class,0);
		}
		public TimelineOptionContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_timelineOption; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitTimelineOption(this);
			else return visitor.visitChildren(this);
		}
	}

	public final TimelineOptionContext timelineOption() throws RecognitionException {
		TimelineOptionContext _localctx = new TimelineOptionContext(_ctx, getState());
		enterRule(_localctx, 14, RULE_timelineOption);
		try {
			setState(170);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case LAST:
				enterOuterAlt(_localctx, 1);
				{
				setState(163);
				match(LAST);
				setState(164);
				duration();
				}
				break;
			case REQUEST:
				enterOuterAlt(_localctx, 2);
				{
				setState(165);
				match(REQUEST);
				setState(166);
				requestId();
				}
				break;
			case NODE:
				enterOuterAlt(_localctx, 3);
				{
				setState(167);
				match(NODE);
				setState(168);
				nodeId();
				}
				break;
			case EVERYWHERE:
				enterOuterAlt(_localctx, 4);
				{
				setState(169);
				everywhere();
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class TargetOptionContext extends ParserRuleContext {
		public TerminalNode SERVICE() { return getToken(OperatorParser.SERVICE, 0); }
		public ServiceNameContext serviceName() {
			return getRuleContext(ServiceNameContext.class,0);
		}
		public TerminalNode NODE() { return getToken(OperatorParser.NODE, 0); }
		public NodeIdContext nodeId() {
			return getRuleContext(NodeIdContext.class,0);
		}
		public EverywhereContext everywhere() {
			return getRuleContext(EverywhereContext.class,0);
		}
		public TargetOptionContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_targetOption; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitTargetOption(this);
			else return visitor.visitChildren(this);
		}
	}

	public final TargetOptionContext targetOption() throws RecognitionException {
		TargetOptionContext _localctx = new TargetOptionContext(_ctx, getState());
		enterRule(_localctx, 16, RULE_targetOption);
		try {
			setState(177);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case SERVICE:
				enterOuterAlt(_localctx, 1);
				{
				setState(172);
				match(SERVICE);
				setState(173);
				serviceName();
				}
				break;
			case NODE:
				enterOuterAlt(_localctx, 2);
				{
				setState(174);
				match(NODE);
				setState(175);
				nodeId();
				}
				break;
			case EVERYWHERE:
				enterOuterAlt(_localctx, 3);
				{
				setState(176);
				everywhere();
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ServiceTopicContext extends ParserRuleContext {
		public TerminalNode LEVELS() { return getToken(OperatorParser.LEVELS, 0); }
		public TerminalNode RETRIES() { return getToken(OperatorParser.RETRIES, 0); }
		public TerminalNode QUARANTINE() { return getToken(OperatorParser.QUARANTINE, 0); }
		public ServiceTopicContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_serviceTopic; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitServiceTopic(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ServiceTopicContext serviceTopic() throws RecognitionException {
		ServiceTopicContext _localctx = new ServiceTopicContext(_ctx, getState());
		enterRule(_localctx, 18, RULE_serviceTopic);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(179);
			_la = _input.LA(1);
			if ( !((((_la) & ~0x3f) == 0 && ((1L << _la) & 285245440L) != 0)) ) {
			_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ServiceOptionContext extends ParserRuleContext {
		public TerminalNode SERVICE() { return getToken(OperatorParser.SERVICE, 0); }
		public ServiceNameContext serviceName() {
			return getRuleContext(ServiceNameContext.class,0);
		}
		public EverywhereContext everywhere() {
			return getRuleContext(EverywhereContext.class,0);
		}
		public ServiceOptionContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_serviceOption; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitServiceOption(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ServiceOptionContext serviceOption() throws RecognitionException {
		ServiceOptionContext _localctx = new ServiceOptionContext(_ctx, getState());
		enterRule(_localctx, 20, RULE_serviceOption);
		try {
			setState(184);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case SERVICE:
				enterOuterAlt(_localctx, 1);
				{
				setState(181);
				match(SERVICE);
				setState(182);
				serviceName();
				}
				break;
			case EVERYWHERE:
				enterOuterAlt(_localctx, 2);
				{
				setState(183);
				everywhere();
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class NodeTopicContext extends ParserRuleContext {
		public TerminalNode NODES() { return getToken(OperatorParser.NODES, 0); }
		public TerminalNode TICKETS() { return getToken(OperatorParser.TICKETS, 0); }
		public TerminalNode CONNECTIONS() { return getToken(OperatorParser.CONNECTIONS, 0); }
		public NodeTopicContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_nodeTopic; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitNodeTopic(this);
			else return visitor.visitChildren(this);
		}
	}

	public final NodeTopicContext nodeTopic() throws RecognitionException {
		NodeTopicContext _localctx = new NodeTopicContext(_ctx, getState());
		enterRule(_localctx, 22, RULE_nodeTopic);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(186);
			_la = _input.LA(1);
			if ( !((((_la) & ~0x3f) == 0 && ((1L << _la) & 274878955776L) != 0)) ) {
			_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class NodeOptionContext extends ParserRuleContext {
		public TerminalNode NODE() { return getToken(OperatorParser.NODE, 0); }
		public NodeIdContext nodeId() {
			return getRuleContext(NodeIdContext.class,0);
		}
		public EverywhereContext everywhere() {
			return getRuleContext(EverywhereContext.class,0);
		}
		public NodeOptionContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_nodeOption; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitNodeOption(this);
			else return visitor.visitChildren(this);
		}
	}

	public final NodeOptionContext nodeOption() throws RecognitionException {
		NodeOptionContext _localctx = new NodeOptionContext(_ctx, getState());
		enterRule(_localctx, 24, RULE_nodeOption);
		try {
			setState(191);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case NODE:
				enterOuterAlt(_localctx, 1);
				{
				setState(188);
				match(NODE);
				setState(189);
				nodeId();
				}
				break;
			case EVERYWHERE:
				enterOuterAlt(_localctx, 2);
				{
				setState(190);
				everywhere();
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class DocumentTopicContext extends ParserRuleContext {
		public TerminalNode CONFIGURATION() { return getToken(OperatorParser.CONFIGURATION, 0); }
		public TerminalNode CHANGES() { return getToken(OperatorParser.CHANGES, 0); }
		public DocumentTopicContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_documentTopic; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitDocumentTopic(this);
			else return visitor.visitChildren(this);
		}
	}

	public final DocumentTopicContext documentTopic() throws RecognitionException {
		DocumentTopicContext _localctx = new DocumentTopicContext(_ctx, getState());
		enterRule(_localctx, 26, RULE_documentTopic);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(193);
			_la = _input.LA(1);
			if ( !(_la==CHANGES || _la==CONFIGURATION) ) {
			_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class EverywhereContext extends ParserRuleContext {
		public TerminalNode EVERYWHERE() { return getToken(OperatorParser.EVERYWHERE, 0); }
		public EverywhereContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_everywhere; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitEverywhere(this);
			else return visitor.visitChildren(this);
		}
	}

	public final EverywhereContext everywhere() throws RecognitionException {
		EverywhereContext _localctx = new EverywhereContext(_ctx, getState());
		enterRule(_localctx, 28, RULE_everywhere);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(195);
			match(EVERYWHERE);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class WhyContext extends ParserRuleContext {
		public TerminalNode WHY() { return getToken(OperatorParser.WHY, 0); }
		public RequestIdContext requestId() {
			return getRuleContext(RequestIdContext.class,0);
		}
		public EverywhereContext everywhere() {
			return getRuleContext(EverywhereContext.class,0);
		}
		public WhyContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_why; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitWhy(this);
			else return visitor.visitChildren(this);
		}
	}

	public final WhyContext why() throws RecognitionException {
		WhyContext _localctx = new WhyContext(_ctx, getState());
		enterRule(_localctx, 30, RULE_why);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(197);
			match(WHY);
			setState(198);
			requestId();
			setState(200);
			_errHandler.sync(this);
			_la = _input.LA(1);
			if (_la==EVERYWHERE) {
				{
				setState(199);
				everywhere();
				}
			}

			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ChangeContext extends ParserRuleContext {
		public SetContext set() {
			return getRuleContext(SetContext.class,0);
		}
		public RemoveContext remove() {
			return getRuleContext(RemoveContext.class,0);
		}
		public MarkContext mark() {
			return getRuleContext(MarkContext.class,0);
		}
		public BasedOnContext basedOn() {
			return getRuleContext(BasedOnContext.class,0);
		}
		public RestoreContext restore() {
			return getRuleContext(RestoreContext.class,0);
		}
		public DrainContext drain() {
			return getRuleContext(DrainContext.class,0);
		}
		public UndrainContext undrain() {
			return getRuleContext(UndrainContext.class,0);
		}
		public ChangeContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_change; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitChange(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ChangeContext change() throws RecognitionException {
		ChangeContext _localctx = new ChangeContext(_ctx, getState());
		enterRule(_localctx, 32, RULE_change);
		int _la;
		try {
			setState(213);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case MARK:
			case REMOVE:
			case SET:
				enterOuterAlt(_localctx, 1);
				{
				setState(205);
				_errHandler.sync(this);
				switch (_input.LA(1)) {
				case SET:
					{
					setState(202);
					set();
					}
					break;
				case REMOVE:
					{
					setState(203);
					remove();
					}
					break;
				case MARK:
					{
					setState(204);
					mark();
					}
					break;
				default:
					throw new NoViableAltException(this);
				}
				setState(208);
				_errHandler.sync(this);
				_la = _input.LA(1);
				if (_la==BASED) {
					{
					setState(207);
					basedOn();
					}
				}

				}
				break;
			case RESTORE:
				enterOuterAlt(_localctx, 2);
				{
				setState(210);
				restore();
				}
				break;
			case DRAIN:
				enterOuterAlt(_localctx, 3);
				{
				setState(211);
				drain();
				}
				break;
			case UNDRAIN:
				enterOuterAlt(_localctx, 4);
				{
				setState(212);
				undrain();
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class BasedOnContext extends ParserRuleContext {
		public TerminalNode BASED() { return getToken(OperatorParser.BASED, 0); }
		public TerminalNode ON() { return getToken(OperatorParser.ON, 0); }
		public TerminalNode VERSION() { return getToken(OperatorParser.VERSION, 0); }
		public VersionContext version() {
			return getRuleContext(VersionContext.class,0);
		}
		public BasedOnContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_basedOn; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitBasedOn(this);
			else return visitor.visitChildren(this);
		}
	}

	public final BasedOnContext basedOn() throws RecognitionException {
		BasedOnContext _localctx = new BasedOnContext(_ctx, getState());
		enterRule(_localctx, 34, RULE_basedOn);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(215);
			match(BASED);
			setState(216);
			match(ON);
			setState(217);
			match(VERSION);
			setState(218);
			version();
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class SetContext extends ParserRuleContext {
		public TerminalNode SET() { return getToken(OperatorParser.SET, 0); }
		public SetClassContext setClass() {
			return getRuleContext(SetClassContext.class,0);
		}
		public SetBudgetContext setBudget() {
			return getRuleContext(SetBudgetContext.class,0);
		}
		public SetLimitContext setLimit() {
			return getRuleContext(SetLimitContext.class,0);
		}
		public SetRouteContext setRoute() {
			return getRuleContext(SetRouteContext.class,0);
		}
		public SetContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_set; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitSet(this);
			else return visitor.visitChildren(this);
		}
	}

	public final SetContext set() throws RecognitionException {
		SetContext _localctx = new SetContext(_ctx, getState());
		enterRule(_localctx, 36, RULE_set);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(220);
			match(SET);
			setState(225);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case CLASS:
				{
				setState(221);
				setClass();
				}
				break;
			case BUDGET:
				{
				setState(222);
				setBudget();
				}
				break;
			case LIMIT:
				{
				setState(223);
				setLimit();
				}
				break;
			case ROUTE:
				{
				setState(224);
				setRoute();
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class SetClassContext extends ParserRuleContext {
		public TerminalNode CLASS() { return getToken(OperatorParser.CLASS, 0); }
		public ClassNameContext className() {
			return getRuleContext(ClassNameContext.class,0);
		}
		public TerminalNode PRIORITY() { return getToken(OperatorParser.PRIORITY, 0); }
		public PriorityContext priority() {
			return getRuleContext(PriorityContext.class,0);
		}
		public SetClassContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_setClass; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitSetClass(this);
			else return visitor.visitChildren(this);
		}
	}

	public final SetClassContext setClass() throws RecognitionException {
		SetClassContext _localctx = new SetClassContext(_ctx, getState());
		enterRule(_localctx, 38, RULE_setClass);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(227);
			match(CLASS);
			setState(228);
			className();
			setState(229);
			match(PRIORITY);
			setState(230);
			priority();
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class SetBudgetContext extends ParserRuleContext {
		public TerminalNode BUDGET() { return getToken(OperatorParser.BUDGET, 0); }
		public BudgetNameContext budgetName() {
			return getRuleContext(BudgetNameContext.class,0);
		}
		public List<BudgetOptionContext> budgetOption() {
			return getRuleContexts(BudgetOptionContext.class);
		}
		public BudgetOptionContext budgetOption(int i) {
			return getRuleContext(BudgetOptionContext.class,i);
		}
		public SetBudgetContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_setBudget; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitSetBudget(this);
			else return visitor.visitChildren(this);
		}
	}

	public final SetBudgetContext setBudget() throws RecognitionException {
		SetBudgetContext _localctx = new SetBudgetContext(_ctx, getState());
		enterRule(_localctx, 40, RULE_setBudget);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(232);
			match(BUDGET);
			setState(233);
			budgetName();
			setState(235); 
			_errHandler.sync(this);
			_la = _input.LA(1);
			do {
				{
				{
				setState(234);
				budgetOption();
				}
				}
				setState(237); 
				_errHandler.sync(this);
				_la = _input.LA(1);
			} while ( _la==RETRIES || _la==SHARE );
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class BudgetOptionContext extends ParserRuleContext {
		public TerminalNode SHARE() { return getToken(OperatorParser.SHARE, 0); }
		public ShareContext share() {
			return getRuleContext(ShareContext.class,0);
		}
		public TerminalNode RETRIES() { return getToken(OperatorParser.RETRIES, 0); }
		public RetriesContext retries() {
			return getRuleContext(RetriesContext.class,0);
		}
		public BudgetOptionContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_budgetOption; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitBudgetOption(this);
			else return visitor.visitChildren(this);
		}
	}

	public final BudgetOptionContext budgetOption() throws RecognitionException {
		BudgetOptionContext _localctx = new BudgetOptionContext(_ctx, getState());
		enterRule(_localctx, 42, RULE_budgetOption);
		try {
			setState(243);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case SHARE:
				enterOuterAlt(_localctx, 1);
				{
				setState(239);
				match(SHARE);
				setState(240);
				share();
				}
				break;
			case RETRIES:
				enterOuterAlt(_localctx, 2);
				{
				setState(241);
				match(RETRIES);
				setState(242);
				retries();
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class SetLimitContext extends ParserRuleContext {
		public TerminalNode LIMIT() { return getToken(OperatorParser.LIMIT, 0); }
		public ServiceNameContext serviceName() {
			return getRuleContext(ServiceNameContext.class,0);
		}
		public TerminalNode SLOTS() { return getToken(OperatorParser.SLOTS, 0); }
		public SlotsContext slots() {
			return getRuleContext(SlotsContext.class,0);
		}
		public SetLimitContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_setLimit; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitSetLimit(this);
			else return visitor.visitChildren(this);
		}
	}

	public final SetLimitContext setLimit() throws RecognitionException {
		SetLimitContext _localctx = new SetLimitContext(_ctx, getState());
		enterRule(_localctx, 44, RULE_setLimit);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(245);
			match(LIMIT);
			setState(246);
			serviceName();
			setState(247);
			match(SLOTS);
			setState(248);
			slots();
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class SetRouteContext extends ParserRuleContext {
		public TerminalNode ROUTE() { return getToken(OperatorParser.ROUTE, 0); }
		public PrefixContext prefix() {
			return getRuleContext(PrefixContext.class,0);
		}
		public RouteTargetContext routeTarget() {
			return getRuleContext(RouteTargetContext.class,0);
		}
		public TerminalNode DEADLINE() { return getToken(OperatorParser.DEADLINE, 0); }
		public DurationContext duration() {
			return getRuleContext(DurationContext.class,0);
		}
		public RouteMethodsContext routeMethods() {
			return getRuleContext(RouteMethodsContext.class,0);
		}
		public SetRouteContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_setRoute; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitSetRoute(this);
			else return visitor.visitChildren(this);
		}
	}

	public final SetRouteContext setRoute() throws RecognitionException {
		SetRouteContext _localctx = new SetRouteContext(_ctx, getState());
		enterRule(_localctx, 46, RULE_setRoute);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(250);
			match(ROUTE);
			setState(251);
			prefix();
			setState(253);
			_errHandler.sync(this);
			_la = _input.LA(1);
			if (_la==METHODS || _la==WORD) {
				{
				setState(252);
				routeMethods();
				}
			}

			setState(258);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case SERVICE:
				{
				setState(255);
				routeTarget();
				}
				break;
			case DEADLINE:
				{
				setState(256);
				match(DEADLINE);
				setState(257);
				duration();
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class RouteMethodsContext extends ParserRuleContext {
		public List<MethodContext> method() {
			return getRuleContexts(MethodContext.class);
		}
		public MethodContext method(int i) {
			return getRuleContext(MethodContext.class,i);
		}
		public TerminalNode METHODS() { return getToken(OperatorParser.METHODS, 0); }
		public List<TerminalNode> COMMA() { return getTokens(OperatorParser.COMMA); }
		public TerminalNode COMMA(int i) {
			return getToken(OperatorParser.COMMA, i);
		}
		public RouteMethodsContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_routeMethods; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitRouteMethods(this);
			else return visitor.visitChildren(this);
		}
	}

	public final RouteMethodsContext routeMethods() throws RecognitionException {
		RouteMethodsContext _localctx = new RouteMethodsContext(_ctx, getState());
		enterRule(_localctx, 48, RULE_routeMethods);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(261);
			_errHandler.sync(this);
			_la = _input.LA(1);
			if (_la==METHODS) {
				{
				setState(260);
				match(METHODS);
				}
			}

			setState(263);
			method();
			setState(268);
			_errHandler.sync(this);
			_la = _input.LA(1);
			while (_la==COMMA) {
				{
				{
				setState(264);
				match(COMMA);
				setState(265);
				method();
				}
				}
				setState(270);
				_errHandler.sync(this);
				_la = _input.LA(1);
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class RouteTargetContext extends ParserRuleContext {
		public TerminalNode SERVICE() { return getToken(OperatorParser.SERVICE, 0); }
		public ServiceNameContext serviceName() {
			return getRuleContext(ServiceNameContext.class,0);
		}
		public TerminalNode CLASS() { return getToken(OperatorParser.CLASS, 0); }
		public ClassNameContext className() {
			return getRuleContext(ClassNameContext.class,0);
		}
		public List<RouteOptionContext> routeOption() {
			return getRuleContexts(RouteOptionContext.class);
		}
		public RouteOptionContext routeOption(int i) {
			return getRuleContext(RouteOptionContext.class,i);
		}
		public RouteTargetContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_routeTarget; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitRouteTarget(this);
			else return visitor.visitChildren(this);
		}
	}

	public final RouteTargetContext routeTarget() throws RecognitionException {
		RouteTargetContext _localctx = new RouteTargetContext(_ctx, getState());
		enterRule(_localctx, 50, RULE_routeTarget);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(271);
			match(SERVICE);
			setState(272);
			serviceName();
			setState(273);
			match(CLASS);
			setState(274);
			className();
			setState(278);
			_errHandler.sync(this);
			_la = _input.LA(1);
			while ((((_la) & ~0x3f) == 0 && ((1L << _la) & 2105860L) != 0)) {
				{
				{
				setState(275);
				routeOption();
				}
				}
				setState(280);
				_errHandler.sync(this);
				_la = _input.LA(1);
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class RouteOptionContext extends ParserRuleContext {
		public TerminalNode IDEMPOTENT() { return getToken(OperatorParser.IDEMPOTENT, 0); }
		public TerminalNode NON_IDEMPOTENT() { return getToken(OperatorParser.NON_IDEMPOTENT, 0); }
		public TerminalNode DEADLINE() { return getToken(OperatorParser.DEADLINE, 0); }
		public DurationContext duration() {
			return getRuleContext(DurationContext.class,0);
		}
		public TerminalNode BUDGET() { return getToken(OperatorParser.BUDGET, 0); }
		public BudgetNameContext budgetName() {
			return getRuleContext(BudgetNameContext.class,0);
		}
		public RouteOptionContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_routeOption; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitRouteOption(this);
			else return visitor.visitChildren(this);
		}
	}

	public final RouteOptionContext routeOption() throws RecognitionException {
		RouteOptionContext _localctx = new RouteOptionContext(_ctx, getState());
		enterRule(_localctx, 52, RULE_routeOption);
		try {
			setState(287);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case IDEMPOTENT:
				enterOuterAlt(_localctx, 1);
				{
				setState(281);
				match(IDEMPOTENT);
				}
				break;
			case NON_IDEMPOTENT:
				enterOuterAlt(_localctx, 2);
				{
				setState(282);
				match(NON_IDEMPOTENT);
				}
				break;
			case DEADLINE:
				enterOuterAlt(_localctx, 3);
				{
				setState(283);
				match(DEADLINE);
				setState(284);
				duration();
				}
				break;
			case BUDGET:
				enterOuterAlt(_localctx, 4);
				{
				setState(285);
				match(BUDGET);
				setState(286);
				budgetName();
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class RemoveContext extends ParserRuleContext {
		public TerminalNode REMOVE() { return getToken(OperatorParser.REMOVE, 0); }
		public TerminalNode ROUTE() { return getToken(OperatorParser.ROUTE, 0); }
		public PrefixContext prefix() {
			return getRuleContext(PrefixContext.class,0);
		}
		public RouteMethodsContext routeMethods() {
			return getRuleContext(RouteMethodsContext.class,0);
		}
		public RemoveContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_remove; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitRemove(this);
			else return visitor.visitChildren(this);
		}
	}

	public final RemoveContext remove() throws RecognitionException {
		RemoveContext _localctx = new RemoveContext(_ctx, getState());
		enterRule(_localctx, 54, RULE_remove);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(289);
			match(REMOVE);
			setState(290);
			match(ROUTE);
			setState(291);
			prefix();
			setState(293);
			_errHandler.sync(this);
			_la = _input.LA(1);
			if (_la==METHODS || _la==WORD) {
				{
				setState(292);
				routeMethods();
				}
			}

			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class MarkContext extends ParserRuleContext {
		public TerminalNode MARK() { return getToken(OperatorParser.MARK, 0); }
		public TerminalNode ROUTE() { return getToken(OperatorParser.ROUTE, 0); }
		public PrefixContext prefix() {
			return getRuleContext(PrefixContext.class,0);
		}
		public TerminalNode NON_IDEMPOTENT() { return getToken(OperatorParser.NON_IDEMPOTENT, 0); }
		public TerminalNode IDEMPOTENT() { return getToken(OperatorParser.IDEMPOTENT, 0); }
		public RouteMethodsContext routeMethods() {
			return getRuleContext(RouteMethodsContext.class,0);
		}
		public MarkContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_mark; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitMark(this);
			else return visitor.visitChildren(this);
		}
	}

	public final MarkContext mark() throws RecognitionException {
		MarkContext _localctx = new MarkContext(_ctx, getState());
		enterRule(_localctx, 56, RULE_mark);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(295);
			match(MARK);
			setState(296);
			match(ROUTE);
			setState(297);
			prefix();
			setState(299);
			_errHandler.sync(this);
			_la = _input.LA(1);
			if (_la==METHODS || _la==WORD) {
				{
				setState(298);
				routeMethods();
				}
			}

			setState(301);
			_la = _input.LA(1);
			if ( !(_la==IDEMPOTENT || _la==NON_IDEMPOTENT) ) {
			_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class RestoreContext extends ParserRuleContext {
		public TerminalNode RESTORE() { return getToken(OperatorParser.RESTORE, 0); }
		public TerminalNode CONFIGURATION() { return getToken(OperatorParser.CONFIGURATION, 0); }
		public RestoreContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_restore; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitRestore(this);
			else return visitor.visitChildren(this);
		}
	}

	public final RestoreContext restore() throws RecognitionException {
		RestoreContext _localctx = new RestoreContext(_ctx, getState());
		enterRule(_localctx, 58, RULE_restore);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(303);
			match(RESTORE);
			setState(304);
			match(CONFIGURATION);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class DrainContext extends ParserRuleContext {
		public TerminalNode DRAIN() { return getToken(OperatorParser.DRAIN, 0); }
		public TerminalNode TARGET() { return getToken(OperatorParser.TARGET, 0); }
		public NodeIdContext nodeId() {
			return getRuleContext(NodeIdContext.class,0);
		}
		public DrainContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_drain; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitDrain(this);
			else return visitor.visitChildren(this);
		}
	}

	public final DrainContext drain() throws RecognitionException {
		DrainContext _localctx = new DrainContext(_ctx, getState());
		enterRule(_localctx, 60, RULE_drain);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(306);
			match(DRAIN);
			setState(307);
			match(TARGET);
			setState(308);
			nodeId();
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class UndrainContext extends ParserRuleContext {
		public TerminalNode UNDRAIN() { return getToken(OperatorParser.UNDRAIN, 0); }
		public TerminalNode TARGET() { return getToken(OperatorParser.TARGET, 0); }
		public NodeIdContext nodeId() {
			return getRuleContext(NodeIdContext.class,0);
		}
		public UndrainContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_undrain; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitUndrain(this);
			else return visitor.visitChildren(this);
		}
	}

	public final UndrainContext undrain() throws RecognitionException {
		UndrainContext _localctx = new UndrainContext(_ctx, getState());
		enterRule(_localctx, 62, RULE_undrain);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(310);
			match(UNDRAIN);
			setState(311);
			match(TARGET);
			setState(312);
			nodeId();
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ClassNameContext extends ParserRuleContext {
		public NameContext name() {
			return getRuleContext(NameContext.class,0);
		}
		public ClassNameContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_className; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitClassName(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ClassNameContext className() throws RecognitionException {
		ClassNameContext _localctx = new ClassNameContext(_ctx, getState());
		enterRule(_localctx, 64, RULE_className);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(314);
			name();
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class BudgetNameContext extends ParserRuleContext {
		public NameContext name() {
			return getRuleContext(NameContext.class,0);
		}
		public BudgetNameContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_budgetName; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitBudgetName(this);
			else return visitor.visitChildren(this);
		}
	}

	public final BudgetNameContext budgetName() throws RecognitionException {
		BudgetNameContext _localctx = new BudgetNameContext(_ctx, getState());
		enterRule(_localctx, 66, RULE_budgetName);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(316);
			name();
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ServiceNameContext extends ParserRuleContext {
		public NameContext name() {
			return getRuleContext(NameContext.class,0);
		}
		public ServiceNameContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_serviceName; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitServiceName(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ServiceNameContext serviceName() throws RecognitionException {
		ServiceNameContext _localctx = new ServiceNameContext(_ctx, getState());
		enterRule(_localctx, 68, RULE_serviceName);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(318);
			name();
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class NodeIdContext extends ParserRuleContext {
		public NameContext name() {
			return getRuleContext(NameContext.class,0);
		}
		public NodeIdContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_nodeId; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitNodeId(this);
			else return visitor.visitChildren(this);
		}
	}

	public final NodeIdContext nodeId() throws RecognitionException {
		NodeIdContext _localctx = new NodeIdContext(_ctx, getState());
		enterRule(_localctx, 70, RULE_nodeId);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(320);
			name();
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class MethodContext extends ParserRuleContext {
		public TerminalNode WORD() { return getToken(OperatorParser.WORD, 0); }
		public MethodContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_method; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitMethod(this);
			else return visitor.visitChildren(this);
		}
	}

	public final MethodContext method() throws RecognitionException {
		MethodContext _localctx = new MethodContext(_ctx, getState());
		enterRule(_localctx, 72, RULE_method);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(322);
			match(WORD);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class RequestIdContext extends ParserRuleContext {
		public TerminalNode WORD() { return getToken(OperatorParser.WORD, 0); }
		public RequestIdContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_requestId; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitRequestId(this);
			else return visitor.visitChildren(this);
		}
	}

	public final RequestIdContext requestId() throws RecognitionException {
		RequestIdContext _localctx = new RequestIdContext(_ctx, getState());
		enterRule(_localctx, 74, RULE_requestId);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(324);
			match(WORD);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class PrefixContext extends ParserRuleContext {
		public TerminalNode PATH() { return getToken(OperatorParser.PATH, 0); }
		public PrefixContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_prefix; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitPrefix(this);
			else return visitor.visitChildren(this);
		}
	}

	public final PrefixContext prefix() throws RecognitionException {
		PrefixContext _localctx = new PrefixContext(_ctx, getState());
		enterRule(_localctx, 76, RULE_prefix);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(326);
			match(PATH);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class DurationContext extends ParserRuleContext {
		public TerminalNode DURATION() { return getToken(OperatorParser.DURATION, 0); }
		public DurationContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_duration; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitDuration(this);
			else return visitor.visitChildren(this);
		}
	}

	public final DurationContext duration() throws RecognitionException {
		DurationContext _localctx = new DurationContext(_ctx, getState());
		enterRule(_localctx, 78, RULE_duration);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(328);
			match(DURATION);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ShareContext extends ParserRuleContext {
		public TerminalNode PERCENT() { return getToken(OperatorParser.PERCENT, 0); }
		public TerminalNode DECIMAL() { return getToken(OperatorParser.DECIMAL, 0); }
		public ShareContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_share; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitShare(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ShareContext share() throws RecognitionException {
		ShareContext _localctx = new ShareContext(_ctx, getState());
		enterRule(_localctx, 80, RULE_share);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(330);
			_la = _input.LA(1);
			if ( !(_la==DECIMAL || _la==PERCENT) ) {
			_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class PriorityContext extends ParserRuleContext {
		public TerminalNode NUMBER() { return getToken(OperatorParser.NUMBER, 0); }
		public PriorityContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_priority; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitPriority(this);
			else return visitor.visitChildren(this);
		}
	}

	public final PriorityContext priority() throws RecognitionException {
		PriorityContext _localctx = new PriorityContext(_ctx, getState());
		enterRule(_localctx, 82, RULE_priority);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(332);
			match(NUMBER);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class RetriesContext extends ParserRuleContext {
		public TerminalNode NUMBER() { return getToken(OperatorParser.NUMBER, 0); }
		public RetriesContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_retries; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitRetries(this);
			else return visitor.visitChildren(this);
		}
	}

	public final RetriesContext retries() throws RecognitionException {
		RetriesContext _localctx = new RetriesContext(_ctx, getState());
		enterRule(_localctx, 84, RULE_retries);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(334);
			match(NUMBER);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class SlotsContext extends ParserRuleContext {
		public TerminalNode NUMBER() { return getToken(OperatorParser.NUMBER, 0); }
		public SlotsContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_slots; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitSlots(this);
			else return visitor.visitChildren(this);
		}
	}

	public final SlotsContext slots() throws RecognitionException {
		SlotsContext _localctx = new SlotsContext(_ctx, getState());
		enterRule(_localctx, 86, RULE_slots);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(336);
			match(NUMBER);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class VersionContext extends ParserRuleContext {
		public TerminalNode NUMBER() { return getToken(OperatorParser.NUMBER, 0); }
		public VersionContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_version; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitVersion(this);
			else return visitor.visitChildren(this);
		}
	}

	public final VersionContext version() throws RecognitionException {
		VersionContext _localctx = new VersionContext(_ctx, getState());
		enterRule(_localctx, 88, RULE_version);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(338);
			match(NUMBER);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class NameContext extends ParserRuleContext {
		public TerminalNode WORD() { return getToken(OperatorParser.WORD, 0); }
		public TerminalNode NUMBER() { return getToken(OperatorParser.NUMBER, 0); }
		public TerminalNode DECIMAL() { return getToken(OperatorParser.DECIMAL, 0); }
		public TerminalNode DURATION() { return getToken(OperatorParser.DURATION, 0); }
		public KeywordContext keyword() {
			return getRuleContext(KeywordContext.class,0);
		}
		public NameContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_name; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitName(this);
			else return visitor.visitChildren(this);
		}
	}

	public final NameContext name() throws RecognitionException {
		NameContext _localctx = new NameContext(_ctx, getState());
		enterRule(_localctx, 90, RULE_name);
		try {
			setState(345);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case WORD:
				enterOuterAlt(_localctx, 1);
				{
				setState(340);
				match(WORD);
				}
				break;
			case NUMBER:
				enterOuterAlt(_localctx, 2);
				{
				setState(341);
				match(NUMBER);
				}
				break;
			case DECIMAL:
				enterOuterAlt(_localctx, 3);
				{
				setState(342);
				match(DECIMAL);
				}
				break;
			case DURATION:
				enterOuterAlt(_localctx, 4);
				{
				setState(343);
				match(DURATION);
				}
				break;
			case BASED:
			case BUDGET:
			case BY:
			case CALLER:
			case CHANGES:
			case CLASS:
			case CONFIGURATION:
			case CONNECTIONS:
			case DEADLINE:
			case DRAIN:
			case EVERYWHERE:
			case EXPLAIN:
			case IDEMPOTENT:
			case LAST:
			case LEVELS:
			case LIMIT:
			case MARK:
			case METHODS:
			case NODE:
			case NODES:
			case NON_IDEMPOTENT:
			case ON:
			case PRIORITY:
			case QUARANTINE:
			case REMOVE:
			case REQUEST:
			case RESTORE:
			case RETRIES:
			case ROUTE:
			case SERVICE:
			case SET:
			case SHARE:
			case SHED:
			case SHOW:
			case SLOTS:
			case TARGET:
			case TARGETS:
			case TICKETS:
			case TIMELINE:
			case UNDRAIN:
			case VERSION:
			case WATCH:
			case WHY:
				enterOuterAlt(_localctx, 5);
				{
				setState(344);
				keyword();
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class KeywordContext extends ParserRuleContext {
		public TerminalNode BASED() { return getToken(OperatorParser.BASED, 0); }
		public TerminalNode BUDGET() { return getToken(OperatorParser.BUDGET, 0); }
		public TerminalNode BY() { return getToken(OperatorParser.BY, 0); }
		public TerminalNode CALLER() { return getToken(OperatorParser.CALLER, 0); }
		public TerminalNode CHANGES() { return getToken(OperatorParser.CHANGES, 0); }
		public TerminalNode CLASS() { return getToken(OperatorParser.CLASS, 0); }
		public TerminalNode CONFIGURATION() { return getToken(OperatorParser.CONFIGURATION, 0); }
		public TerminalNode CONNECTIONS() { return getToken(OperatorParser.CONNECTIONS, 0); }
		public TerminalNode DEADLINE() { return getToken(OperatorParser.DEADLINE, 0); }
		public TerminalNode DRAIN() { return getToken(OperatorParser.DRAIN, 0); }
		public TerminalNode EVERYWHERE() { return getToken(OperatorParser.EVERYWHERE, 0); }
		public TerminalNode EXPLAIN() { return getToken(OperatorParser.EXPLAIN, 0); }
		public TerminalNode IDEMPOTENT() { return getToken(OperatorParser.IDEMPOTENT, 0); }
		public TerminalNode LAST() { return getToken(OperatorParser.LAST, 0); }
		public TerminalNode LEVELS() { return getToken(OperatorParser.LEVELS, 0); }
		public TerminalNode LIMIT() { return getToken(OperatorParser.LIMIT, 0); }
		public TerminalNode MARK() { return getToken(OperatorParser.MARK, 0); }
		public TerminalNode METHODS() { return getToken(OperatorParser.METHODS, 0); }
		public TerminalNode NODE() { return getToken(OperatorParser.NODE, 0); }
		public TerminalNode NODES() { return getToken(OperatorParser.NODES, 0); }
		public TerminalNode NON_IDEMPOTENT() { return getToken(OperatorParser.NON_IDEMPOTENT, 0); }
		public TerminalNode ON() { return getToken(OperatorParser.ON, 0); }
		public TerminalNode PRIORITY() { return getToken(OperatorParser.PRIORITY, 0); }
		public TerminalNode QUARANTINE() { return getToken(OperatorParser.QUARANTINE, 0); }
		public TerminalNode REMOVE() { return getToken(OperatorParser.REMOVE, 0); }
		public TerminalNode REQUEST() { return getToken(OperatorParser.REQUEST, 0); }
		public TerminalNode RESTORE() { return getToken(OperatorParser.RESTORE, 0); }
		public TerminalNode RETRIES() { return getToken(OperatorParser.RETRIES, 0); }
		public TerminalNode ROUTE() { return getToken(OperatorParser.ROUTE, 0); }
		public TerminalNode SERVICE() { return getToken(OperatorParser.SERVICE, 0); }
		public TerminalNode SET() { return getToken(OperatorParser.SET, 0); }
		public TerminalNode SHARE() { return getToken(OperatorParser.SHARE, 0); }
		public TerminalNode SHED() { return getToken(OperatorParser.SHED, 0); }
		public TerminalNode SHOW() { return getToken(OperatorParser.SHOW, 0); }
		public TerminalNode SLOTS() { return getToken(OperatorParser.SLOTS, 0); }
		public TerminalNode TARGET() { return getToken(OperatorParser.TARGET, 0); }
		public TerminalNode TARGETS() { return getToken(OperatorParser.TARGETS, 0); }
		public TerminalNode TICKETS() { return getToken(OperatorParser.TICKETS, 0); }
		public TerminalNode TIMELINE() { return getToken(OperatorParser.TIMELINE, 0); }
		public TerminalNode UNDRAIN() { return getToken(OperatorParser.UNDRAIN, 0); }
		public TerminalNode VERSION() { return getToken(OperatorParser.VERSION, 0); }
		public TerminalNode WATCH() { return getToken(OperatorParser.WATCH, 0); }
		public TerminalNode WHY() { return getToken(OperatorParser.WHY, 0); }
		public KeywordContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_keyword; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitKeyword(this);
			else return visitor.visitChildren(this);
		}
	}

	public final KeywordContext keyword() throws RecognitionException {
		KeywordContext _localctx = new KeywordContext(_ctx, getState());
		enterRule(_localctx, 92, RULE_keyword);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(347);
			_la = _input.LA(1);
			if ( !((((_la) & ~0x3f) == 0 && ((1L << _la) & 17592186044414L) != 0)) ) {
			_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	public static final String _serializedATN =
		"\u0004\u00014\u015e\u0002\u0000\u0007\u0000\u0002\u0001\u0007\u0001\u0002"+
		"\u0002\u0007\u0002\u0002\u0003\u0007\u0003\u0002\u0004\u0007\u0004\u0002"+
		"\u0005\u0007\u0005\u0002\u0006\u0007\u0006\u0002\u0007\u0007\u0007\u0002"+
		"\b\u0007\b\u0002\t\u0007\t\u0002\n\u0007\n\u0002\u000b\u0007\u000b\u0002"+
		"\f\u0007\f\u0002\r\u0007\r\u0002\u000e\u0007\u000e\u0002\u000f\u0007\u000f"+
		"\u0002\u0010\u0007\u0010\u0002\u0011\u0007\u0011\u0002\u0012\u0007\u0012"+
		"\u0002\u0013\u0007\u0013\u0002\u0014\u0007\u0014\u0002\u0015\u0007\u0015"+
		"\u0002\u0016\u0007\u0016\u0002\u0017\u0007\u0017\u0002\u0018\u0007\u0018"+
		"\u0002\u0019\u0007\u0019\u0002\u001a\u0007\u001a\u0002\u001b\u0007\u001b"+
		"\u0002\u001c\u0007\u001c\u0002\u001d\u0007\u001d\u0002\u001e\u0007\u001e"+
		"\u0002\u001f\u0007\u001f\u0002 \u0007 \u0002!\u0007!\u0002\"\u0007\"\u0002"+
		"#\u0007#\u0002$\u0007$\u0002%\u0007%\u0002&\u0007&\u0002\'\u0007\'\u0002"+
		"(\u0007(\u0002)\u0007)\u0002*\u0007*\u0002+\u0007+\u0002,\u0007,\u0002"+
		"-\u0007-\u0002.\u0007.\u0001\u0000\u0001\u0000\u0001\u0000\u0001\u0001"+
		"\u0001\u0001\u0001\u0001\u0001\u0001\u0001\u0001\u0003\u0001g\b\u0001"+
		"\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0003\u0001\u0003\u0001\u0003"+
		"\u0001\u0004\u0001\u0004\u0001\u0004\u0005\u0004r\b\u0004\n\u0004\f\u0004"+
		"u\t\u0004\u0001\u0004\u0001\u0004\u0005\u0004y\b\u0004\n\u0004\f\u0004"+
		"|\t\u0004\u0001\u0004\u0001\u0004\u0005\u0004\u0080\b\u0004\n\u0004\f"+
		"\u0004\u0083\t\u0004\u0001\u0004\u0001\u0004\u0005\u0004\u0087\b\u0004"+
		"\n\u0004\f\u0004\u008a\t\u0004\u0001\u0004\u0001\u0004\u0005\u0004\u008e"+
		"\b\u0004\n\u0004\f\u0004\u0091\t\u0004\u0001\u0004\u0001\u0004\u0003\u0004"+
		"\u0095\b\u0004\u0003\u0004\u0097\b\u0004\u0001\u0005\u0001\u0005\u0001"+
		"\u0005\u0001\u0005\u0001\u0005\u0001\u0005\u0001\u0005\u0003\u0005\u00a0"+
		"\b\u0005\u0001\u0006\u0001\u0006\u0001\u0007\u0001\u0007\u0001\u0007\u0001"+
		"\u0007\u0001\u0007\u0001\u0007\u0001\u0007\u0003\u0007\u00ab\b\u0007\u0001"+
		"\b\u0001\b\u0001\b\u0001\b\u0001\b\u0003\b\u00b2\b\b\u0001\t\u0001\t\u0001"+
		"\n\u0001\n\u0001\n\u0003\n\u00b9\b\n\u0001\u000b\u0001\u000b\u0001\f\u0001"+
		"\f\u0001\f\u0003\f\u00c0\b\f\u0001\r\u0001\r\u0001\u000e\u0001\u000e\u0001"+
		"\u000f\u0001\u000f\u0001\u000f\u0003\u000f\u00c9\b\u000f\u0001\u0010\u0001"+
		"\u0010\u0001\u0010\u0003\u0010\u00ce\b\u0010\u0001\u0010\u0003\u0010\u00d1"+
		"\b\u0010\u0001\u0010\u0001\u0010\u0001\u0010\u0003\u0010\u00d6\b\u0010"+
		"\u0001\u0011\u0001\u0011\u0001\u0011\u0001\u0011\u0001\u0011\u0001\u0012"+
		"\u0001\u0012\u0001\u0012\u0001\u0012\u0001\u0012\u0003\u0012\u00e2\b\u0012"+
		"\u0001\u0013\u0001\u0013\u0001\u0013\u0001\u0013\u0001\u0013\u0001\u0014"+
		"\u0001\u0014\u0001\u0014\u0004\u0014\u00ec\b\u0014\u000b\u0014\f\u0014"+
		"\u00ed\u0001\u0015\u0001\u0015\u0001\u0015\u0001\u0015\u0003\u0015\u00f4"+
		"\b\u0015\u0001\u0016\u0001\u0016\u0001\u0016\u0001\u0016\u0001\u0016\u0001"+
		"\u0017\u0001\u0017\u0001\u0017\u0003\u0017\u00fe\b\u0017\u0001\u0017\u0001"+
		"\u0017\u0001\u0017\u0003\u0017\u0103\b\u0017\u0001\u0018\u0003\u0018\u0106"+
		"\b\u0018\u0001\u0018\u0001\u0018\u0001\u0018\u0005\u0018\u010b\b\u0018"+
		"\n\u0018\f\u0018\u010e\t\u0018\u0001\u0019\u0001\u0019\u0001\u0019\u0001"+
		"\u0019\u0001\u0019\u0005\u0019\u0115\b\u0019\n\u0019\f\u0019\u0118\t\u0019"+
		"\u0001\u001a\u0001\u001a\u0001\u001a\u0001\u001a\u0001\u001a\u0001\u001a"+
		"\u0003\u001a\u0120\b\u001a\u0001\u001b\u0001\u001b\u0001\u001b\u0001\u001b"+
		"\u0003\u001b\u0126\b\u001b\u0001\u001c\u0001\u001c\u0001\u001c\u0001\u001c"+
		"\u0003\u001c\u012c\b\u001c\u0001\u001c\u0001\u001c\u0001\u001d\u0001\u001d"+
		"\u0001\u001d\u0001\u001e\u0001\u001e\u0001\u001e\u0001\u001e\u0001\u001f"+
		"\u0001\u001f\u0001\u001f\u0001\u001f\u0001 \u0001 \u0001!\u0001!\u0001"+
		"\"\u0001\"\u0001#\u0001#\u0001$\u0001$\u0001%\u0001%\u0001&\u0001&\u0001"+
		"\'\u0001\'\u0001(\u0001(\u0001)\u0001)\u0001*\u0001*\u0001+\u0001+\u0001"+
		",\u0001,\u0001-\u0001-\u0001-\u0001-\u0001-\u0003-\u015a\b-\u0001.\u0001"+
		".\u0001.\u0000\u0000/\u0000\u0002\u0004\u0006\b\n\f\u000e\u0010\u0012"+
		"\u0014\u0016\u0018\u001a\u001c\u001e \"$&(*,.02468:<>@BDFHJLNPRTVXZ\\"+
		"\u0000\u0007\u0003\u0000\u0004\u0004\u0006\u0006\u001e\u001e\u0003\u0000"+
		"\u000f\u000f\u0018\u0018\u001c\u001c\u0003\u0000\b\b\u0014\u0014&&\u0002"+
		"\u0000\u0005\u0005\u0007\u0007\u0002\u0000\r\r\u0015\u0015\u0001\u0000"+
		"./\u0001\u0000\u0001+\u0161\u0000^\u0001\u0000\u0000\u0000\u0002f\u0001"+
		"\u0000\u0000\u0000\u0004h\u0001\u0000\u0000\u0000\u0006k\u0001\u0000\u0000"+
		"\u0000\bn\u0001\u0000\u0000\u0000\n\u009f\u0001\u0000\u0000\u0000\f\u00a1"+
		"\u0001\u0000\u0000\u0000\u000e\u00aa\u0001\u0000\u0000\u0000\u0010\u00b1"+
		"\u0001\u0000\u0000\u0000\u0012\u00b3\u0001\u0000\u0000\u0000\u0014\u00b8"+
		"\u0001\u0000\u0000\u0000\u0016\u00ba\u0001\u0000\u0000\u0000\u0018\u00bf"+
		"\u0001\u0000\u0000\u0000\u001a\u00c1\u0001\u0000\u0000\u0000\u001c\u00c3"+
		"\u0001\u0000\u0000\u0000\u001e\u00c5\u0001\u0000\u0000\u0000 \u00d5\u0001"+
		"\u0000\u0000\u0000\"\u00d7\u0001\u0000\u0000\u0000$\u00dc\u0001\u0000"+
		"\u0000\u0000&\u00e3\u0001\u0000\u0000\u0000(\u00e8\u0001\u0000\u0000\u0000"+
		"*\u00f3\u0001\u0000\u0000\u0000,\u00f5\u0001\u0000\u0000\u0000.\u00fa"+
		"\u0001\u0000\u0000\u00000\u0105\u0001\u0000\u0000\u00002\u010f\u0001\u0000"+
		"\u0000\u00004\u011f\u0001\u0000\u0000\u00006\u0121\u0001\u0000\u0000\u0000"+
		"8\u0127\u0001\u0000\u0000\u0000:\u012f\u0001\u0000\u0000\u0000<\u0132"+
		"\u0001\u0000\u0000\u0000>\u0136\u0001\u0000\u0000\u0000@\u013a\u0001\u0000"+
		"\u0000\u0000B\u013c\u0001\u0000\u0000\u0000D\u013e\u0001\u0000\u0000\u0000"+
		"F\u0140\u0001\u0000\u0000\u0000H\u0142\u0001\u0000\u0000\u0000J\u0144"+
		"\u0001\u0000\u0000\u0000L\u0146\u0001\u0000\u0000\u0000N\u0148\u0001\u0000"+
		"\u0000\u0000P\u014a\u0001\u0000\u0000\u0000R\u014c\u0001\u0000\u0000\u0000"+
		"T\u014e\u0001\u0000\u0000\u0000V\u0150\u0001\u0000\u0000\u0000X\u0152"+
		"\u0001\u0000\u0000\u0000Z\u0159\u0001\u0000\u0000\u0000\\\u015b\u0001"+
		"\u0000\u0000\u0000^_\u0003\u0002\u0001\u0000_`\u0005\u0000\u0000\u0001"+
		"`\u0001\u0001\u0000\u0000\u0000ag\u0003\b\u0004\u0000bg\u0003\u001e\u000f"+
		"\u0000cg\u0003 \u0010\u0000dg\u0003\u0004\u0002\u0000eg\u0003\u0006\u0003"+
		"\u0000fa\u0001\u0000\u0000\u0000fb\u0001\u0000\u0000\u0000fc\u0001\u0000"+
		"\u0000\u0000fd\u0001\u0000\u0000\u0000fe\u0001\u0000\u0000\u0000g\u0003"+
		"\u0001\u0000\u0000\u0000hi\u0005\f\u0000\u0000ij\u0003 \u0010\u0000j\u0005"+
		"\u0001\u0000\u0000\u0000kl\u0005*\u0000\u0000lm\u0003\b\u0004\u0000m\u0007"+
		"\u0001\u0000\u0000\u0000n\u0096\u0005\"\u0000\u0000os\u0005!\u0000\u0000"+
		"pr\u0003\n\u0005\u0000qp\u0001\u0000\u0000\u0000ru\u0001\u0000\u0000\u0000"+
		"sq\u0001\u0000\u0000\u0000st\u0001\u0000\u0000\u0000t\u0097\u0001\u0000"+
		"\u0000\u0000us\u0001\u0000\u0000\u0000vz\u0005\'\u0000\u0000wy\u0003\u000e"+
		"\u0007\u0000xw\u0001\u0000\u0000\u0000y|\u0001\u0000\u0000\u0000zx\u0001"+
		"\u0000\u0000\u0000z{\u0001\u0000\u0000\u0000{\u0097\u0001\u0000\u0000"+
		"\u0000|z\u0001\u0000\u0000\u0000}\u0081\u0005%\u0000\u0000~\u0080\u0003"+
		"\u0010\b\u0000\u007f~\u0001\u0000\u0000\u0000\u0080\u0083\u0001\u0000"+
		"\u0000\u0000\u0081\u007f\u0001\u0000\u0000\u0000\u0081\u0082\u0001\u0000"+
		"\u0000\u0000\u0082\u0097\u0001\u0000\u0000\u0000\u0083\u0081\u0001\u0000"+
		"\u0000\u0000\u0084\u0088\u0003\u0012\t\u0000\u0085\u0087\u0003\u0014\n"+
		"\u0000\u0086\u0085\u0001\u0000\u0000\u0000\u0087\u008a\u0001\u0000\u0000"+
		"\u0000\u0088\u0086\u0001\u0000\u0000\u0000\u0088\u0089\u0001\u0000\u0000"+
		"\u0000\u0089\u0097\u0001\u0000\u0000\u0000\u008a\u0088\u0001\u0000\u0000"+
		"\u0000\u008b\u008f\u0003\u0016\u000b\u0000\u008c\u008e\u0003\u0018\f\u0000"+
		"\u008d\u008c\u0001\u0000\u0000\u0000\u008e\u0091\u0001\u0000\u0000\u0000"+
		"\u008f\u008d\u0001\u0000\u0000\u0000\u008f\u0090\u0001\u0000\u0000\u0000"+
		"\u0090\u0097\u0001\u0000\u0000\u0000\u0091\u008f\u0001\u0000\u0000\u0000"+
		"\u0092\u0094\u0003\u001a\r\u0000\u0093\u0095\u0003\u001c\u000e\u0000\u0094"+
		"\u0093\u0001\u0000\u0000\u0000\u0094\u0095\u0001\u0000\u0000\u0000\u0095"+
		"\u0097\u0001\u0000\u0000\u0000\u0096o\u0001\u0000\u0000\u0000\u0096v\u0001"+
		"\u0000\u0000\u0000\u0096}\u0001\u0000\u0000\u0000\u0096\u0084\u0001\u0000"+
		"\u0000\u0000\u0096\u008b\u0001\u0000\u0000\u0000\u0096\u0092\u0001\u0000"+
		"\u0000\u0000\u0097\t\u0001\u0000\u0000\u0000\u0098\u0099\u0005\u0003\u0000"+
		"\u0000\u0099\u00a0\u0003\f\u0006\u0000\u009a\u009b\u0005\u000e\u0000\u0000"+
		"\u009b\u00a0\u0003N\'\u0000\u009c\u009d\u0005\u001e\u0000\u0000\u009d"+
		"\u00a0\u0003D\"\u0000\u009e\u00a0\u0003\u001c\u000e\u0000\u009f\u0098"+
		"\u0001\u0000\u0000\u0000\u009f\u009a\u0001\u0000\u0000\u0000\u009f\u009c"+
		"\u0001\u0000\u0000\u0000\u009f\u009e\u0001\u0000\u0000\u0000\u00a0\u000b"+
		"\u0001\u0000\u0000\u0000\u00a1\u00a2\u0007\u0000\u0000\u0000\u00a2\r\u0001"+
		"\u0000\u0000\u0000\u00a3\u00a4\u0005\u000e\u0000\u0000\u00a4\u00ab\u0003"+
		"N\'\u0000\u00a5\u00a6\u0005\u001a\u0000\u0000\u00a6\u00ab\u0003J%\u0000"+
		"\u00a7\u00a8\u0005\u0013\u0000\u0000\u00a8\u00ab\u0003F#\u0000\u00a9\u00ab"+
		"\u0003\u001c\u000e\u0000\u00aa\u00a3\u0001\u0000\u0000\u0000\u00aa\u00a5"+
		"\u0001\u0000\u0000\u0000\u00aa\u00a7\u0001\u0000\u0000\u0000\u00aa\u00a9"+
		"\u0001\u0000\u0000\u0000\u00ab\u000f\u0001\u0000\u0000\u0000\u00ac\u00ad"+
		"\u0005\u001e\u0000\u0000\u00ad\u00b2\u0003D\"\u0000\u00ae\u00af\u0005"+
		"\u0013\u0000\u0000\u00af\u00b2\u0003F#\u0000\u00b0\u00b2\u0003\u001c\u000e"+
		"\u0000\u00b1\u00ac\u0001\u0000\u0000\u0000\u00b1\u00ae\u0001\u0000\u0000"+
		"\u0000\u00b1\u00b0\u0001\u0000\u0000\u0000\u00b2\u0011\u0001\u0000\u0000"+
		"\u0000\u00b3\u00b4\u0007\u0001\u0000\u0000\u00b4\u0013\u0001\u0000\u0000"+
		"\u0000\u00b5\u00b6\u0005\u001e\u0000\u0000\u00b6\u00b9\u0003D\"\u0000"+
		"\u00b7\u00b9\u0003\u001c\u000e\u0000\u00b8\u00b5\u0001\u0000\u0000\u0000"+
		"\u00b8\u00b7\u0001\u0000\u0000\u0000\u00b9\u0015\u0001\u0000\u0000\u0000"+
		"\u00ba\u00bb\u0007\u0002\u0000\u0000\u00bb\u0017\u0001\u0000\u0000\u0000"+
		"\u00bc\u00bd\u0005\u0013\u0000\u0000\u00bd\u00c0\u0003F#\u0000\u00be\u00c0"+
		"\u0003\u001c\u000e\u0000\u00bf\u00bc\u0001\u0000\u0000\u0000\u00bf\u00be"+
		"\u0001\u0000\u0000\u0000\u00c0\u0019\u0001\u0000\u0000\u0000\u00c1\u00c2"+
		"\u0007\u0003\u0000\u0000\u00c2\u001b\u0001\u0000\u0000\u0000\u00c3\u00c4"+
		"\u0005\u000b\u0000\u0000\u00c4\u001d\u0001\u0000\u0000\u0000\u00c5\u00c6"+
		"\u0005+\u0000\u0000\u00c6\u00c8\u0003J%\u0000\u00c7\u00c9\u0003\u001c"+
		"\u000e\u0000\u00c8\u00c7\u0001\u0000\u0000\u0000\u00c8\u00c9\u0001\u0000"+
		"\u0000\u0000\u00c9\u001f\u0001\u0000\u0000\u0000\u00ca\u00ce\u0003$\u0012"+
		"\u0000\u00cb\u00ce\u00036\u001b\u0000\u00cc\u00ce\u00038\u001c\u0000\u00cd"+
		"\u00ca\u0001\u0000\u0000\u0000\u00cd\u00cb\u0001\u0000\u0000\u0000\u00cd"+
		"\u00cc\u0001\u0000\u0000\u0000\u00ce\u00d0\u0001\u0000\u0000\u0000\u00cf"+
		"\u00d1\u0003\"\u0011\u0000\u00d0\u00cf\u0001\u0000\u0000\u0000\u00d0\u00d1"+
		"\u0001\u0000\u0000\u0000\u00d1\u00d6\u0001\u0000\u0000\u0000\u00d2\u00d6"+
		"\u0003:\u001d\u0000\u00d3\u00d6\u0003<\u001e\u0000\u00d4\u00d6\u0003>"+
		"\u001f\u0000\u00d5\u00cd\u0001\u0000\u0000\u0000\u00d5\u00d2\u0001\u0000"+
		"\u0000\u0000\u00d5\u00d3\u0001\u0000\u0000\u0000\u00d5\u00d4\u0001\u0000"+
		"\u0000\u0000\u00d6!\u0001\u0000\u0000\u0000\u00d7\u00d8\u0005\u0001\u0000"+
		"\u0000\u00d8\u00d9\u0005\u0016\u0000\u0000\u00d9\u00da\u0005)\u0000\u0000"+
		"\u00da\u00db\u0003X,\u0000\u00db#\u0001\u0000\u0000\u0000\u00dc\u00e1"+
		"\u0005\u001f\u0000\u0000\u00dd\u00e2\u0003&\u0013\u0000\u00de\u00e2\u0003"+
		"(\u0014\u0000\u00df\u00e2\u0003,\u0016\u0000\u00e0\u00e2\u0003.\u0017"+
		"\u0000\u00e1\u00dd\u0001\u0000\u0000\u0000\u00e1\u00de\u0001\u0000\u0000"+
		"\u0000\u00e1\u00df\u0001\u0000\u0000\u0000\u00e1\u00e0\u0001\u0000\u0000"+
		"\u0000\u00e2%\u0001\u0000\u0000\u0000\u00e3\u00e4\u0005\u0006\u0000\u0000"+
		"\u00e4\u00e5\u0003@ \u0000\u00e5\u00e6\u0005\u0017\u0000\u0000\u00e6\u00e7"+
		"\u0003R)\u0000\u00e7\'\u0001\u0000\u0000\u0000\u00e8\u00e9\u0005\u0002"+
		"\u0000\u0000\u00e9\u00eb\u0003B!\u0000\u00ea\u00ec\u0003*\u0015\u0000"+
		"\u00eb\u00ea\u0001\u0000\u0000\u0000\u00ec\u00ed\u0001\u0000\u0000\u0000"+
		"\u00ed\u00eb\u0001\u0000\u0000\u0000\u00ed\u00ee\u0001\u0000\u0000\u0000"+
		"\u00ee)\u0001\u0000\u0000\u0000\u00ef\u00f0\u0005 \u0000\u0000\u00f0\u00f4"+
		"\u0003P(\u0000\u00f1\u00f2\u0005\u001c\u0000\u0000\u00f2\u00f4\u0003T"+
		"*\u0000\u00f3\u00ef\u0001\u0000\u0000\u0000\u00f3\u00f1\u0001\u0000\u0000"+
		"\u0000\u00f4+\u0001\u0000\u0000\u0000\u00f5\u00f6\u0005\u0010\u0000\u0000"+
		"\u00f6\u00f7\u0003D\"\u0000\u00f7\u00f8\u0005#\u0000\u0000\u00f8\u00f9"+
		"\u0003V+\u0000\u00f9-\u0001\u0000\u0000\u0000\u00fa\u00fb\u0005\u001d"+
		"\u0000\u0000\u00fb\u00fd\u0003L&\u0000\u00fc\u00fe\u00030\u0018\u0000"+
		"\u00fd\u00fc\u0001\u0000\u0000\u0000\u00fd\u00fe\u0001\u0000\u0000\u0000"+
		"\u00fe\u0102\u0001\u0000\u0000\u0000\u00ff\u0103\u00032\u0019\u0000\u0100"+
		"\u0101\u0005\t\u0000\u0000\u0101\u0103\u0003N\'\u0000\u0102\u00ff\u0001"+
		"\u0000\u0000\u0000\u0102\u0100\u0001\u0000\u0000\u0000\u0103/\u0001\u0000"+
		"\u0000\u0000\u0104\u0106\u0005\u0012\u0000\u0000\u0105\u0104\u0001\u0000"+
		"\u0000\u0000\u0105\u0106\u0001\u0000\u0000\u0000\u0106\u0107\u0001\u0000"+
		"\u0000\u0000\u0107\u010c\u0003H$\u0000\u0108\u0109\u00052\u0000\u0000"+
		"\u0109\u010b\u0003H$\u0000\u010a\u0108\u0001\u0000\u0000\u0000\u010b\u010e"+
		"\u0001\u0000\u0000\u0000\u010c\u010a\u0001\u0000\u0000\u0000\u010c\u010d"+
		"\u0001\u0000\u0000\u0000\u010d1\u0001\u0000\u0000\u0000\u010e\u010c\u0001"+
		"\u0000\u0000\u0000\u010f\u0110\u0005\u001e\u0000\u0000\u0110\u0111\u0003"+
		"D\"\u0000\u0111\u0112\u0005\u0006\u0000\u0000\u0112\u0116\u0003@ \u0000"+
		"\u0113\u0115\u00034\u001a\u0000\u0114\u0113\u0001\u0000\u0000\u0000\u0115"+
		"\u0118\u0001\u0000\u0000\u0000\u0116\u0114\u0001\u0000\u0000\u0000\u0116"+
		"\u0117\u0001\u0000\u0000\u0000\u01173\u0001\u0000\u0000\u0000\u0118\u0116"+
		"\u0001\u0000\u0000\u0000\u0119\u0120\u0005\r\u0000\u0000\u011a\u0120\u0005"+
		"\u0015\u0000\u0000\u011b\u011c\u0005\t\u0000\u0000\u011c\u0120\u0003N"+
		"\'\u0000\u011d\u011e\u0005\u0002\u0000\u0000\u011e\u0120\u0003B!\u0000"+
		"\u011f\u0119\u0001\u0000\u0000\u0000\u011f\u011a\u0001\u0000\u0000\u0000"+
		"\u011f\u011b\u0001\u0000\u0000\u0000\u011f\u011d\u0001\u0000\u0000\u0000"+
		"\u01205\u0001\u0000\u0000\u0000\u0121\u0122\u0005\u0019\u0000\u0000\u0122"+
		"\u0123\u0005\u001d\u0000\u0000\u0123\u0125\u0003L&\u0000\u0124\u0126\u0003"+
		"0\u0018\u0000\u0125\u0124\u0001\u0000\u0000\u0000\u0125\u0126\u0001\u0000"+
		"\u0000\u0000\u01267\u0001\u0000\u0000\u0000\u0127\u0128\u0005\u0011\u0000"+
		"\u0000\u0128\u0129\u0005\u001d\u0000\u0000\u0129\u012b\u0003L&\u0000\u012a"+
		"\u012c\u00030\u0018\u0000\u012b\u012a\u0001\u0000\u0000\u0000\u012b\u012c"+
		"\u0001\u0000\u0000\u0000\u012c\u012d\u0001\u0000\u0000\u0000\u012d\u012e"+
		"\u0007\u0004\u0000\u0000\u012e9\u0001\u0000\u0000\u0000\u012f\u0130\u0005"+
		"\u001b\u0000\u0000\u0130\u0131\u0005\u0007\u0000\u0000\u0131;\u0001\u0000"+
		"\u0000\u0000\u0132\u0133\u0005\n\u0000\u0000\u0133\u0134\u0005$\u0000"+
		"\u0000\u0134\u0135\u0003F#\u0000\u0135=\u0001\u0000\u0000\u0000\u0136"+
		"\u0137\u0005(\u0000\u0000\u0137\u0138\u0005$\u0000\u0000\u0138\u0139\u0003"+
		"F#\u0000\u0139?\u0001\u0000\u0000\u0000\u013a\u013b\u0003Z-\u0000\u013b"+
		"A\u0001\u0000\u0000\u0000\u013c\u013d\u0003Z-\u0000\u013dC\u0001\u0000"+
		"\u0000\u0000\u013e\u013f\u0003Z-\u0000\u013fE\u0001\u0000\u0000\u0000"+
		"\u0140\u0141\u0003Z-\u0000\u0141G\u0001\u0000\u0000\u0000\u0142\u0143"+
		"\u00050\u0000\u0000\u0143I\u0001\u0000\u0000\u0000\u0144\u0145\u00050"+
		"\u0000\u0000\u0145K\u0001\u0000\u0000\u0000\u0146\u0147\u00051\u0000\u0000"+
		"\u0147M\u0001\u0000\u0000\u0000\u0148\u0149\u0005-\u0000\u0000\u0149O"+
		"\u0001\u0000\u0000\u0000\u014a\u014b\u0007\u0005\u0000\u0000\u014bQ\u0001"+
		"\u0000\u0000\u0000\u014c\u014d\u0005,\u0000\u0000\u014dS\u0001\u0000\u0000"+
		"\u0000\u014e\u014f\u0005,\u0000\u0000\u014fU\u0001\u0000\u0000\u0000\u0150"+
		"\u0151\u0005,\u0000\u0000\u0151W\u0001\u0000\u0000\u0000\u0152\u0153\u0005"+
		",\u0000\u0000\u0153Y\u0001\u0000\u0000\u0000\u0154\u015a\u00050\u0000"+
		"\u0000\u0155\u015a\u0005,\u0000\u0000\u0156\u015a\u0005.\u0000\u0000\u0157"+
		"\u015a\u0005-\u0000\u0000\u0158\u015a\u0003\\.\u0000\u0159\u0154\u0001"+
		"\u0000\u0000\u0000\u0159\u0155\u0001\u0000\u0000\u0000\u0159\u0156\u0001"+
		"\u0000\u0000\u0000\u0159\u0157\u0001\u0000\u0000\u0000\u0159\u0158\u0001"+
		"\u0000\u0000\u0000\u015a[\u0001\u0000\u0000\u0000\u015b\u015c\u0007\u0006"+
		"\u0000\u0000\u015c]\u0001\u0000\u0000\u0000\u001dfsz\u0081\u0088\u008f"+
		"\u0094\u0096\u009f\u00aa\u00b1\u00b8\u00bf\u00c8\u00cd\u00d0\u00d5\u00e1"+
		"\u00ed\u00f3\u00fd\u0102\u0105\u010c\u0116\u011f\u0125\u012b\u0159";
	public static final ATN _ATN =
		new ATNDeserializer().deserialize(_serializedATN.toCharArray());
	static {
		_decisionToDFA = new DFA[_ATN.getNumberOfDecisions()];
		for (int i = 0; i < _ATN.getNumberOfDecisions(); i++) {
			_decisionToDFA[i] = new DFA(_ATN.getDecisionState(i), i);
		}
	}
}